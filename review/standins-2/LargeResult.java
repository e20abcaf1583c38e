import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A client reads a large result in a transaction; the platform starts each process again that ends. */
final class LargeResult {
    static final String CONFIGURATION = "{\"version\":7,\"routes\":["
        + "{\"name\":\"r-p\",\"host\":\"bookings\",\"path-prefix\":\"/\",\"type\":\"primary\",\"timeout-ms\":1000,\"target-latency-ms\":200,\"priority\":1,\"service\":\"ledger\",\"max-attempts\":2,\"anonymous\":false},"
        + "{\"name\":\"r-b\",\"host\":\"status\",\"path-prefix\":\"/\",\"type\":\"bounded_staleness\",\"timeout-ms\":2000,\"target-latency-ms\":600,\"priority\":2,\"service\":\"ledger\",\"max-attempts\":2,\"max-staleness-ms\":1500,\"anonymous\":false},"
        + "{\"name\":\"r-o\",\"host\":\"receipts\",\"path-prefix\":\"/\",\"type\":\"read_your_writes\",\"timeout-ms\":1000,\"target-latency-ms\":400,\"priority\":2,\"service\":\"ledger\",\"max-attempts\":2,\"max-staleness-ms\":2500,\"anonymous\":false}],"
        + "\"services\":[{\"name\":\"ledger\",\"health-path\":\"/healthz\",\"max-conns\":36,\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":0}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"txn-idle-ms\":3000},"
        + "\"tenants\":[{\"name\":\"shop\",\"api-keys\":[\"k1\"],\"priority\":1,\"rate-per-s\":2000,\"burst\":2000}]}";
    private static final int ROW_CHARS = 2_000;
    private static final int LARGE_ROWS = Integer.parseInt(System.getenv().getOrDefault("ROWS", "6000"));
    private static final int SMALL_ROWS = 3;
    private static final int REPORTS = 8;

    public static void main(String[] args) {
        Case.main(args, 1, 2, LargeResult::play);
    }

    private static int play(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
        Group group = new Group(fleet, "ledger", 3, 3, 36, 0, 61);
        try (group; Platform platform = new Platform(fleet, List.of(group))) {
            fleet.startAll();
            if (fleet.configure(CONFIGURATION.getBytes(StandardCharsets.UTF_8), 20_000) != 200) return Case.cannotRun(record, "no configuration");
            group.start();
            if (!fleet.awaitReady(20_000)) return Case.cannotRun(record, "no daemon is ready");
            Thread.sleep(3000);
            Counters counters = new Counters(fleet, record);
            counters.start();
            group.rowChars = ROW_CHARS;
            Map<String, Integer> ends = new HashMap<>();
            for (int report = 0; report < REPORTS; report++) {
                String ip = fleet.sessionIps.get(report % 2);
                readReport(fleet, record, group, ip, report, trouble ? LARGE_ROWS : SMALL_ROWS);
                Thread.sleep(1000);
                for (String each : fleet.sessionIps) {
                    String name = "sessions-" + each;
                    if (fleet.processes.get(name).isAlive()) continue;
                    ends.merge(each, 1, Integer::sum);
                    fleet.start("sessions", each, false);
                }
                if (!fleet.awaitReady(15_000)) return Case.cannotRun(record, "a daemon that was started again is not ready");
                Thread.sleep(1500);
            }
            counters.note();
            record.line("processes that ended by themselves, by machine: " + ends);
            return ends.values().stream().filter(n -> n >= 3).count() >= 2 ? 1 : 0;
        }
    }

    private static void readReport(Fleet fleet, Fleet.Record record, Group group, String ip, int report, int rows) {
        try (Client client = new Client(record, "report" + report, ip, fleet.callerPort, "receipts", "k1", 4000)) {
            client.query("b" + report, "BEGIN READ");
            group.rows = rows;
            client.query("q" + report, "READ a1");
            client.query("c" + report, "COMMIT");
        } catch (IOException e) {
            record.line("report" + report + " got no answer: " + e.getMessage());
        } finally {
            group.rows = 1;
        }
    }

    /** Two sessions with small writes at each daemon, which have nothing to do with the reports. */
    static final class Counters {
        private final Fleet fleet;
        private final Fleet.Record record;
        private final AtomicInteger complete = new AtomicInteger();
        private final AtomicInteger refused = new AtomicInteger();
        private final AtomicInteger broken = new AtomicInteger();

        Counters(Fleet fleet, Fleet.Record record) {
            this.fleet = fleet;
            this.record = record;
        }

        void start() {
            List<String> ips = new ArrayList<>(fleet.sessionIps);
            ips.addAll(fleet.sessionIps);
            for (int i = 0; i < ips.size(); i++) {
                int writer = i;
                Group.daemon(() -> write(ips.get(writer), writer)).start();
            }
        }

        void note() {
            record.line("other clients: " + complete + " writes complete, " + refused + " refused, " + broken + " sent and without an answer");
        }

        private void write(String ip, int writer) {
            int n = 0;
            while (true) {
                boolean isSent = false;
                try (Client client = new Client(null, "", ip, fleet.callerPort, "bookings", "k1", 3000)) {
                    while (true) {
                        isSent = true;
                        Client.Reply reply = client.query("w" + writer + "x" + n++, "WRITE a" + n % 50 + " d" + n);
                        isSent = false;
                        (reply.isComplete() ? complete : refused).incrementAndGet();
                        Thread.sleep(40);
                    }
                } catch (IOException e) {
                    if (isSent) broken.incrementAndGet();
                } catch (InterruptedException e) {
                    return;
                }
                try {
                    Thread.sleep(100);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }
}
