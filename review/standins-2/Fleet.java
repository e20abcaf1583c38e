import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback: the project's control and session processes, started by the commands of the deploy file. */
final class Fleet implements AutoCloseable {
    final Path root = Path.of("").toAbsolutePath();
    final Path work;
    final Record record;
    final String net;
    final int internalPort;
    final int controlPort;
    final int callerPort;
    final int readyPort;
    final int platformPort;
    final List<String> controlIps = new ArrayList<>();
    final List<String> sessionIps = new ArrayList<>();
    final Map<String, Process> processes = new LinkedHashMap<>();

    Fleet(Record record, int controls, int sessions) throws IOException {
        this.record = record;
        work = Files.createTempDirectory("buckthornhub-review");
        Random random = new Random();
        net = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
        internalPort = freePort();
        controlPort = freePort();
        callerPort = freePort();
        readyPort = freePort();
        platformPort = freePort();
        for (int i = 0; i < controls; i++) controlIps.add(net + (11 + i));
        for (int i = 0; i < sessions; i++) sessionIps.add(net + (31 + i));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    String platformAddress() {
        return net + "2:" + platformPort;
    }

    void startAll() throws IOException {
        for (String ip : controlIps) start("control", ip, true);
        for (String ip : sessionIps) start("sessions", ip, true);
    }

    void start(String role, String ip, boolean bootstrap) throws IOException {
        Path folder = work.resolve(role + "-" + ip);
        Files.createDirectories(folder.resolve("data"));
        Path settings = folder.resolve("local.toml");
        Files.writeString(settings, render(Files.readString(root.resolve("deploy/" + role + ".toml.template")), fields(role, ip, folder, bootstrap)));
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(runCommand(role).split(" ")));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BUCKTHORNHUB_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        Process process = builder.start();
        processes.put(role + "-" + ip, process);
        process.onExit().thenAccept(p -> record.line("process " + role + "-" + ip + " ended with " + p.exitValue()));
        record.line("started " + role + "-" + ip);
    }

    /** Values of the fields of DEPLOY.md, as the sheet of the small site gives them. */
    private Map<String, Object> fields(String role, String ip, Path folder, boolean bootstrap) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("ip", ip);
        f.put("node-name", role + "-" + ip);
        f.put("zone", zoneOf(ip));
        List<String> seeds = new ArrayList<>();
        for (String c : controlIps.subList(0, Math.min(3, controlIps.size()))) seeds.add(c + ":" + controlPort);
        f.put("seed-nodes", seeds);
        f.put("bootstrap", bootstrap);
        f.put("fault-tolerance.nodes", 1);
        f.put("internal-ports.0", internalPort);
        f.put("bind-addrs.control-plane", ip + ":" + controlPort);
        f.put("bind-addrs.data-plane", ip + ":" + callerPort);
        f.put("bind-addrs.readiness", ip + ":" + readyPort);
        f.put("data-path", folder.resolve("data").toString());
        f.put("provider-api.address", platformAddress());
        f.put("policies", List.of("base", "drain", "config", "cost", "recover", "sql", "tenants", "quota"));
        f.put("limits.memory-mb", role.equals("control") ? 426 : 430);
        f.put("limits.max-fds", role.equals("control") ? 4096 : 4300);
        f.put("parameters.fencing-required", true);
        f.put("parameters.revocation-ms", 5000);
        f.put("parameters.grace-period-s", 6.0);
        f.put("parameters.quota-overrun", 0.1);
        f.put("parameters.quota-tolerance", 20.0);
        f.put("parameters.drain-timeout-ms", 7000);
        return f;
    }

    static String zoneOf(String ip) {
        return List.of("ikeja", "yaba", "surulere").get(Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1)) % 3);
    }

    private static String render(String template, Map<String, Object> fields) {
        Matcher section = Pattern.compile("\\{\\{#([a-z0-9.-]+)}}(.*?)\\{\\{/\\1}}").matcher(template);
        StringBuilder lists = new StringBuilder();
        while (section.find()) {
            List<?> items = (List<?>) fields.getOrDefault(section.group(1), List.of());
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < items.size(); i++) {
                String one = section.group(2).replace("{{.}}", items.get(i).toString());
                all.append(one.replace("{{,}}", i < items.size() - 1 ? "," : ""));
            }
            section.appendReplacement(lists, Matcher.quoteReplacement(all.toString()));
        }
        section.appendTail(lists);
        Matcher value = Pattern.compile("\\{\\{([a-z0-9.-]+)}}").matcher(lists);
        StringBuilder rendered = new StringBuilder();
        while (value.find()) value.appendReplacement(rendered, Matcher.quoteReplacement(fields.getOrDefault(value.group(1), "").toString()));
        value.appendTail(rendered);
        return rendered.toString();
    }

    private String runCommand(String role) throws IOException {
        boolean isRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) isRole = line.trim().equals("[roles." + role + "]");
            if (isRole && line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("no run command of " + role);
    }

    long pid(String name) {
        return processes.get(name).pid();
    }

    void signal(String name, String signal) throws IOException, InterruptedException {
        record.line("signal " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid(name))).start().waitFor();
    }

    /** Sends [body] to any control machine until one acknowledges it; returns its status, or 0 if none did in time. */
    int configure(byte[] body, long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        for (int i = 0; System.currentTimeMillis() < end; i++) {
            int status = put(controlIps.get(i % controlIps.size()), "/buckthornhub/configuration", body);
            if (status >= 200 && status < 500 && status != 408 && status != 429) return status;
            Thread.sleep(200);
        }
        return 0;
    }

    int put(String ip, String path, byte[] body) {
        return http("PUT", "http://" + ip + ":" + controlPort + path, body, null);
    }

    byte[] readConfiguration(long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        for (int i = 0; System.currentTimeMillis() < end; i++) {
            byte[][] answer = new byte[1][];
            String url = "http://" + controlIps.get(i % controlIps.size()) + ":" + controlPort + "/buckthornhub/configuration";
            if (http("GET", url, null, answer) == 200) return answer[0];
            Thread.sleep(200);
        }
        return null;
    }

    static int http(String method, String url, byte[] body, byte[][] answer) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout(1000);
            connection.setReadTimeout(body != null && body.length > 50_000 ? 3000 : 1000);
            if (body != null) {
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                connection.getOutputStream().write(body);
            }
            int status = connection.getResponseCode();
            try (var in = status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
                byte[] bytes = in == null ? new byte[0] : in.readAllBytes();
                if (answer != null) answer[0] = bytes;
            }
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    boolean isReady(String ip) {
        return http("GET", "http://" + ip + ":" + readyPort + "/buckthornhub/readyz", null, null) == 200;
    }

    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < end) {
            if (sessionIps.stream().allMatch(this::isReady)) return true;
            Thread.sleep(200);
        }
        return false;
    }

    /** Resident memory of a process in MB; 0 if it has ended. */
    long residentMb(String name) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid(name) + "/status")))
                if (line.startsWith("VmRSS:")) return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
        } catch (IOException e) {
            return 0;
        }
        return 0;
    }

    String logTail(String name, int lines) throws IOException {
        List<String> all = Files.readAllLines(work.resolve(name).resolve("log"), StandardCharsets.ISO_8859_1);
        return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
    }

    private void killAll() {
        for (Process process : processes.values()) process.destroyForcibly();
    }

    @Override
    public void close() {
        killAll();
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") == null) delete(work.toFile());
    }

    private static void delete(File file) {
        File[] children = file.listFiles();
        if (children != null) for (File child : children) delete(child);
        file.delete();
    }

    /** What was sent, answered and run, with the time since the start. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;
        private final long started = System.nanoTime();

        Record(String folder) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
        }

        synchronized void line(String text) {
            out.printf("%8.3f %s%n", (System.nanoTime() - started) / 1e9, text);
            out.flush();
        }

        @Override
        public void close() {
            out.close();
        }
    }
}
