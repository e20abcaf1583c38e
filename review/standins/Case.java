import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What all scripts share: a small deployment, its configuration, the record, and the exit code. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 110_000;
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter record;

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Group> groups = new ArrayList<>();
    final Http http = new Http();
    Deployment deployment;

    /** Runs the case; returns whether the rule held. */
    abstract boolean run() throws Exception;

    static void log(String text) {
        log(seconds(System.nanoTime()), text);
    }

    /** Writes one line to the record; the lines of clients bear the time of sending, so they are not in order. */
    static synchronized void log(double seconds, String text) {
        record.printf("%9.3f %s%n", seconds, text.replace("\r", "\\r").replace("\n", "\\n"));
        record.flush();
    }

    static double seconds(long nanos) {
        return (nanos - START_NANOS) / 1e9;
    }

    final void main(Path recordFile) {
        try {
            record = new PrintWriter(Files.newBufferedWriter(recordFile));
        } catch (IOException e) {
            System.err.println("could not run: " + e);
            System.exit(NOT_RUN);
        }
        log(getClass().getSimpleName() + ", trouble: " + hasTrouble);
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MILLIS);
                log("could not run: the time is up");
                System.exit(NOT_RUN);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        try {
            code = run() ? HELD : BROKEN;
            log(code == HELD ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Exception | Error e) {
            log("could not run: " + e);
            e.printStackTrace();
            code = NOT_RUN;
        }
        if (deployment != null) deployment.close();
        System.out.println(code == HELD ? "held" : code == BROKEN ? "broken" : "not run");
        System.exit(code);
    }

    /** Starts control VMs, daemons, [groupCount] services of three instances each and the platform. */
    final void startDeployment(int controls, int edges, int groupCount) throws Exception {
        Platform platform = new Platform("127.0.0.1", groups);
        Map<String, Object> parameters = Map.of(
            "revocation-ms", 5000,
            "grace-period-s", 6,
            "quota-overrun", 0.1,
            "quota-tolerance", 20,
            "drain-timeout-ms", 7000,
            "fencing-required", true);
        deployment = new Deployment(controls, edges, platform.address, parameters);
        List<String> addresses = new ArrayList<>();
        for (int i = 0; i < controls; i++) addresses.add(deployment.controlPlane(i));
        for (int g = 0; g < groupCount; g++) {
            Group group = new Group("svc" + g);
            groups.add(group);
            for (int i = 0; i < 3; i++) new Instance("i-" + g + i, deployment.freeAddress(200 + 3 * g + i), group, addresses, http);
            group.lead(group.instances.get(0));
        }
        deployment.startAll();
        for (Group group : groups) group.instances.forEach(Instance::beginHeartbeats);
    }

    /** Sends [configuration] until it is acknowledged; returns the time of the acknowledgement. */
    final long configure(String configuration) throws InterruptedException {
        for (int attempt = 0; attempt < 200; attempt++) {
            String control = deployment.controlPlane(attempt % deployment.controls.size());
            Http.Reply reply = http.send("PUT", "http://" + control + "/buckthornhub/configuration", configuration);
            if (reply.status() == 200) {
                log("operator: acknowledged " + configuration);
                return System.nanoTime();
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException("no configuration was acknowledged");
    }

    final void awaitReady() throws InterruptedException {
        for (String edge : deployment.edges) {
            for (int attempt = 0; ; attempt++) {
                String url = "http://" + edge + ":" + Deployment.READINESS + "/buckthornhub/readyz";
                if (http.send("GET", url, null).status() == 200) break;
                if (attempt > 300) throw new IllegalStateException(edge + " did not become ready");
                Thread.sleep(100);
            }
        }
    }

    /** Opens a session; tries again until the daemon serves it. */
    final Wire open(int edge, String database, String key) throws InterruptedException {
        for (int attempt = 0; ; attempt++) {
            try {
                return new Wire(deployment.edges.get(edge), database, key);
            } catch (IOException e) {
                if (attempt > 50) throw new IllegalStateException(e);
                Thread.sleep(100);
            }
        }
    }

    /** Reads until the daemon has opened its first connection to the primary. */
    final void warmUp(String database, String key) throws InterruptedException {
        try (Wire session = open(0, database, key)) {
            for (int attempt = 0; !session.query("READ item").isSuccess(); attempt++) {
                if (attempt > 50) throw new IllegalStateException("no read is served");
                Thread.sleep(100);
            }
        }
    }

    /** Three routes for each service, named after their kind, and one tenant for each of [keys]. */
    final String configuration(int version, Map<String, String> tenantsOfKeys) {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (Group group : groups) {
            String[][] kinds = {
                {"primary", "200", "1", "1000", ""},
                {"bounded_staleness", "600", "2", "2000", ",\"max-staleness-ms\":1500"},
                {"read_your_writes", "400", "2", "1000", ",\"max-staleness-ms\":2500"},
            };
            for (String[] kind : kinds) {
                if (routes.length() > 0) routes.append(",");
                routes.append("{\"name\":\"r-" + kind[0] + group.name + "\",\"host\":\"" + kind[0] + "-" + group.name
                    + "\",\"path-prefix\":\"/\",\"type\":\"" + kind[0] + "\",\"timeout-ms\":" + kind[3] + ",\"target-latency-ms\":" + kind[1]
                    + ",\"priority\":" + kind[2] + ",\"service\":\"" + group.name + "\",\"max-attempts\":2,\"anonymous\":false" + kind[4] + "}");
            }
            if (services.length() > 0) services.append(",");
            services.append("{\"name\":\"" + group.name
                + "\",\"health-path\":\"/healthz\",\"max-conns\":36,\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":0}");
        }
        StringBuilder tenants = new StringBuilder();
        List<String> names = tenantsOfKeys.values().stream().distinct().sorted().toList();
        for (String name : names) {
            StringBuilder keys = new StringBuilder();
            tenantsOfKeys.forEach((key, tenant) -> {
                if (tenant.equals(name)) keys.append(keys.length() > 0 ? "," : "").append("\"").append(key).append("\"");
            });
            if (tenants.length() > 0) tenants.append(",");
            tenants.append("{\"name\":\"" + name + "\",\"api-keys\":[" + keys + "],\"priority\":1,\"rate-per-s\":900,\"burst\":900}");
        }
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
            + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,"
            + "\"txn-idle-ms\":3000},\"tenants\":[" + tenants + "]}";
    }

    static void logRuns() {
        for (Instance.Run run : Instance.RUNS) {
            log(seconds(run.atNanos()), "ran: " + run.instance() + " for " + run.tenant() + " " + run.id() + " " + run.text()
                + ", log up to " + run.applied());
        }
    }
}
