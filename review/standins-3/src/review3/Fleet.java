package review3;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Starts the project's programs with the commands of the deploy file, on loopback addresses, and writes the record of a case. */
final class Fleet implements AutoCloseable {
    /** The limits of a small site file: memory and descriptors of edge and core machines. */
    private static final int EDGE_MEMORY_MB = 430;
    private static final int EDGE_DESCRIPTORS = 4_200;
    private static final int CORE_MEMORY_MB = 426;
    private static final int CORE_DESCRIPTORS = 4_096;

    /** As the templates of the settings have it. */
    private static final int METRICS_PORT = 9_464;

    private final Path root;
    private final Path folder;
    private final PrintStream record;
    private final long startedNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private final int net;
    private final Map<String, Integer> ports = new LinkedHashMap<>();
    private final int controls;

    Fleet(Path root, Path folder, Path recordFile, int controls) throws IOException {
        this.root = root;
        this.folder = folder;
        this.controls = controls;
        record = new PrintStream(Files.newOutputStream(recordFile), true);
        net = freeNet();
        for (String name : List.of("internal", "control", "callers", "readiness", "orders", "metrics")) ports.put(name, freePort());
    }

    synchronized void record(String text) {
        String line = String.format("%8.3f  %s", (System.nanoTime() - startedNanos) / 1e9, text);
        record.println(line);
        System.out.println(line);
    }

    /** Address of a machine of this run; all lie in 127.0.0.0/8. */
    String ip(String role, int index) {
        int part = switch (role) {
            case "control" -> 1;
            case "sessions" -> 2;
            case "instance" -> 3;
            default -> 9;
        };
        return "127." + net + "." + part + "." + index;
    }

    int port(String name) {
        return ports.get(name);
    }

    String controlAddress(int index) {
        return ip("control", index) + ":" + port("control");
    }

    /** Starts one program; its settings come from the template of its role. */
    Process start(String role, int index, boolean isFirst) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        String section = deploy.substring(deploy.indexOf("[roles." + role + "]") + 1);
        int end = section.indexOf("\n[");
        if (end >= 0) section = section.substring(0, end);
        Path settings = folder.resolve(role + "-" + index + ".toml");
        Files.writeString(settings, render(Files.readString(root.resolve(value(section, "template"))), fields(role, index, isFirst)));
        ProcessBuilder builder = new ProcessBuilder(value(section, "run").split(" ")).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BUCKTHORNHUB_CONFIG", settings.toString());
        File log = folder.resolve(role + "-" + index + ".log").toFile();
        Process process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
        processes.add(process);
        return process;
    }

    private Map<String, String> fields(String role, int index, boolean isFirst) throws IOException {
        String ip = ip(role, index);
        boolean isControl = role.equals("control");
        Path data = Files.createDirectories(folder.resolve("data-" + role + "-" + index));
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("ip", ip);
        fields.put("node-name", role + "-" + index);
        fields.put("zone", "z" + index);
        fields.put("bootstrap", "" + isFirst);
        fields.put("internal-ports.0", "" + port("internal"));
        fields.put("bind-addrs.control-plane", ip + ":" + port("control"));
        fields.put("bind-addrs.data-plane", ip + ":" + port("callers"));
        fields.put("bind-addrs.readiness", ip + ":" + port("readiness"));
        fields.put("data-path", data.toString());
        fields.put("provider-api.address", ip("platform", 1) + ":" + port("orders"));
        fields.put("fault-tolerance.nodes", "" + (controls - 1) / 2);
        fields.put("parameters.revocation-ms", "5000");
        fields.put("parameters.grace-period-s", "6");
        fields.put("parameters.quota-overrun", "0.1");
        fields.put("parameters.quota-tolerance", "20");
        fields.put("parameters.drain-timeout-ms", "7000");
        fields.put("parameters.fencing-required", "true");
        fields.put("limits.memory-mb", "" + (isControl ? CORE_MEMORY_MB : EDGE_MEMORY_MB));
        fields.put("limits.max-fds", "" + (isControl ? CORE_DESCRIPTORS : EDGE_DESCRIPTORS));
        return fields;
    }

    private String render(String template, Map<String, String> fields) {
        StringBuilder seeds = new StringBuilder();
        for (int i = 1; i <= Math.min(controls, 3); i++) seeds.append(i > 1 ? "," : "").append('"').append(controlAddress(i)).append('"');
        String text = template.replaceAll("\\{\\{#seed-nodes}}.*?\\{\\{/seed-nodes}}", seeds.toString())
            .replaceAll("\\{\\{#policies}}.*?\\{\\{/policies}}", "\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"tenants\",\"quota\"");
        Matcher matcher = Pattern.compile("\\{\\{([^{}]+)}}").matcher(text);
        return matcher.replaceAll(found -> Matcher.quoteReplacement(fields.getOrDefault(found.group(1), "")));
    }

    private static String value(String section, String key) {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
        if (!matcher.find()) throw new IllegalStateException("the deploy file has no " + key);
        return matcher.group(1);
    }

    /** Sends a configuration until it is acknowledged, as the operator does. */
    void configure(String document) throws Exception {
        for (int attempt = 0; attempt < 80; attempt++) {
            int status = send("PUT", controlAddress(1 + attempt % controls), "/buckthornhub/configuration", document);
            if (status == 200) {
                record("operator: the configuration is acknowledged");
                return;
            }
            Thread.sleep(250);
        }
        throw new IllegalStateException("no control VM acknowledged the configuration; log: " + lastLine("control", 1));
    }

    void awaitReady(int index) throws Exception {
        for (int attempt = 0; attempt < 80; attempt++) {
            if (isReady(index)) return;
            Thread.sleep(250);
        }
        throw new IllegalStateException("sessions-" + index + " did not become ready");
    }

    boolean isReady(int index) {
        return send("GET", ip("sessions", index) + ":" + port("readiness"), "/buckthornhub/readyz", null) == 200;
    }

    /** Returns the status of the answer, or 0 if there is none within two seconds. */
    int send(String method, String address, String path, String body) {
        try {
            HttpRequest.BodyPublisher content = body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofSeconds(2))
                .header("Content-Type", "application/json").method(method, content).build();
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    private String lastLine(String role, int index) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve(role + "-" + index + ".log"));
        return lines.isEmpty() ? "empty" : lines.get(lines.size() - 1);
    }

    /** Lines of the log of a program that tell of a lack of memory. */
    String faultsIn(String role, int index) throws IOException {
        List<String> lines = Files.readAllLines(folder.resolve(role + "-" + index + ".log"));
        return String.join(" | ", lines.stream().filter(it -> it.contains("OutOfMemory") || it.contains("Java heap space"))
            .map(it -> it.length() > 200 ? it.substring(0, 200) : it).distinct().limit(4).toList());
    }

    // The programs listen at 9464 for metrics, so two runs at a time need addresses of their own.
    private static int freeNet() throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 20; attempt++) {
            int candidate = 10 + random.nextInt(200);
            try (ServerSocket socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName("127." + candidate + ".1.1"))) {
                return candidate;
            } catch (IOException e) {
                // Another run uses it.
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static Socket connect(String ip, int port) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 2_000);
        return socket;
    }

    @Override
    public void close() {
        for (Process process : processes) process.destroyForcibly();
        for (Process process : processes) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            System.out.println("the temporary folder could not be removed: " + e.getMessage());
        }
    }
}
