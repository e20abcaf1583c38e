import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the programs of the deploy file as processes on loopback addresses, with settings rendered from its templates. */
final class Deployment implements AutoCloseable {
    static final int INTERNAL = 7560;
    static final int CONTROL_PLANE = 8462;
    static final int DATA_PLANE = 8465;
    static final int READINESS = 8460;
    static final int METRICS = 9464;
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^{}]+)}}");
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([a-z.-]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);

    final List<String> controls = new ArrayList<>();
    final List<String> edges = new ArrayList<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Path folder;
    private final String net;
    private final String provider;
    private final Map<String, Object> parameters;

    Deployment(int controlCount, int edgeCount, String provider, Map<String, Object> parameters) throws IOException {
        this.provider = provider;
        this.parameters = parameters;
        folder = Files.createTempDirectory("review-case");
        net = freeNet(controlCount + edgeCount);
        for (int i = 0; i < controlCount; i++) controls.add(net + (10 + i));
        for (int i = 0; i < edgeCount; i++) edges.add(net + (100 + i));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    void startAll() throws IOException {
        for (String ip : controls) start("control", ip, true);
        for (String ip : edges) start("sessions", ip, true);
    }

    Process start(String role, String ip, boolean isFirstStart) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
        String run = value(section, "run");
        String template = Files.readString(Path.of(value(section, "template")));
        Path settings = folder.resolve(role + "-" + ip + ".toml");
        Files.writeString(settings, render(template, fields(role, ip, isFirstStart)));
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" ")));
        Map<String, String> environment = builder.environment();
        Map<String, String> kept = new HashMap<>();
        for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (environment.get(name) != null) kept.put(name, environment.get(name));
        }
        environment.clear();
        environment.putAll(kept);
        environment.put("BUCKTHORNHUB_CONFIG", settings.toString());
        File log = folder.resolve(role + "-" + ip + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        synchronized (processes) {
            processes.put(ip, process);
        }
        return process;
    }

    Process process(String ip) {
        synchronized (processes) {
            return processes.get(ip);
        }
    }

    String log(String role, String ip) throws IOException {
        return Files.readString(folder.resolve(role + "-" + ip + ".log"));
    }

    String controlPlane(int index) {
        return controls.get(index) + ":" + CONTROL_PLANE;
    }

    /** An address for a stand-in, with a free port. */
    String freeAddress(int host) throws IOException {
        String ip = net + host;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return ip + ":" + socket.getLocalPort();
        }
    }

    private Map<String, Object> fields(String role, String ip, boolean isFirstStart) throws IOException {
        Path data = folder.resolve("data-" + ip);
        Files.createDirectories(data);
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(3, controls.size()); i++) seeds.add(controlPlane(i));
        Map<String, Object> fields = new HashMap<>();
        fields.put("ip", ip);
        fields.put("node-name", role + "-" + ip);
        fields.put("zone", "ikeja");
        fields.put("seed-nodes", seeds);
        fields.put("bootstrap", isFirstStart);
        fields.put("internal-ports.0", INTERNAL);
        fields.put("bind-addrs.control-plane", ip + ":" + CONTROL_PLANE);
        fields.put("bind-addrs.data-plane", ip + ":" + DATA_PLANE);
        fields.put("bind-addrs.readiness", ip + ":" + READINESS);
        fields.put("data-path", data.toString());
        fields.put("provider-api.address", provider);
        parameters.forEach((name, value) -> fields.put("parameters." + name, value));
        return fields;
    }

    private static String render(String template, Map<String, Object> fields) {
        Matcher section = SECTION.matcher(template);
        StringBuilder withoutSections = new StringBuilder();
        while (section.find()) {
            List<?> entries = (List<?>) fields.get(section.group(1));
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < entries.size(); i++) {
                String comma = i < entries.size() - 1 ? "," : "";
                text.append(section.group(2).replace("{{.}}", String.valueOf(entries.get(i))).replace("{{,}}", comma));
            }
            section.appendReplacement(withoutSections, Matcher.quoteReplacement(text.toString()));
        }
        section.appendTail(withoutSections);
        Matcher placeholder = PLACEHOLDER.matcher(withoutSections);
        StringBuilder rendered = new StringBuilder();
        while (placeholder.find()) {
            Object value = fields.get(placeholder.group(1));
            placeholder.appendReplacement(rendered, Matcher.quoteReplacement(value == null ? "" : String.valueOf(value)));
        }
        placeholder.appendTail(rendered);
        return rendered.toString();
    }

    private static String value(String section, String key) {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(section);
        if (!matcher.find()) throw new IllegalStateException("the deploy file has no " + key);
        return matcher.group(1);
    }

    private static String freeNet(int count) {
        Random random = new Random();
        for (int attempt = 0; attempt < 100; attempt++) {
            String net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
            if (isFree(net + 10) && isFree(net + 100)) return net;
        }
        throw new IllegalStateException("no free loopback addresses");
    }

    private static boolean isFree(String ip) {
        for (int port : new int[] {INTERNAL, CONTROL_PLANE, DATA_PLANE, READINESS, METRICS}) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(ip, port));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void close() {
        List<Process> all;
        synchronized (processes) {
            all = new ArrayList<>(processes.values());
            processes.clear();
        }
        for (Process process : all) process.destroyForcibly();
        for (Process process : all) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        if (!Files.exists(folder)) return;
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException e) {
            System.err.println("could not remove " + folder + ": " + e.getMessage());
        }
    }
}
