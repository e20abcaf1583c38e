import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A service with `sync-replicas` 1: one replica receives nothing for a while, the primary crashes meanwhile, the other replica is busy. */
final class SyncFailover {
    private static final String CONFIGURATION = "{\"version\":7,\"routes\":["
        + "{\"name\":\"r-p\",\"host\":\"bookings\",\"path-prefix\":\"/\",\"type\":\"primary\",\"timeout-ms\":1000,\"target-latency-ms\":200,\"priority\":1,\"service\":\"ledger\",\"max-attempts\":2,\"anonymous\":false},"
        + "{\"name\":\"r-b\",\"host\":\"status\",\"path-prefix\":\"/\",\"type\":\"bounded_staleness\",\"timeout-ms\":2000,\"target-latency-ms\":600,\"priority\":2,\"service\":\"ledger\",\"max-attempts\":2,\"max-staleness-ms\":1500,\"anonymous\":false}],"
        + "\"services\":[{\"name\":\"ledger\",\"health-path\":\"/healthz\",\"max-conns\":36,\"protocol\":\"h1\",\"tls\":false,\"sync-replicas\":1}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"txn-idle-ms\":3000},"
        + "\"tenants\":[{\"name\":\"shop\",\"api-keys\":[\"k1\"],\"priority\":1,\"rate-per-s\":2000,\"burst\":2000}]}";
    private static final int READERS = 20;
    /** Time that a read takes at an instance. */
    private static final long READ_MILLIS = 120;
    private static final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

    public static void main(String[] args) {
        Case.main(args, 3, 1, SyncFailover::play);
    }

    private static int play(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
        Group group = new Group(fleet, "ledger", 3, 3, 36, 1, 61);
        Map<String, String> acknowledged = Collections.synchronizedMap(new LinkedHashMap<>());
        int[] missing = {-1};
        try (group; Platform platform = new Platform(fleet, List.of(group))) {
            platform.onPromoted = (g, next) -> missing[0] = missingIn(record, acknowledged, next);
            fleet.startAll();
            if (fleet.configure(CONFIGURATION.getBytes(StandardCharsets.UTF_8), 20_000) != 200) return Case.cannotRun(record, "no configuration");
            group.start();
            if (!fleet.awaitReady(20_000)) return Case.cannotRun(record, "no daemon is ready");
            Thread.sleep(3000);
            for (int i = 0; i < 2; i++) {
                int writer = i;
                Group.daemon(() -> write(fleet, record, acknowledged, writer)).start();
            }
            Thread.sleep(2000);
            if (acknowledged.size() < 10) return Case.cannotRun(record, "only " + acknowledged.size() + " writes were acknowledged");
            Group.Instance primary = group.primary();
            if (trouble) group.instances.get(2).hear(false);
            Thread.sleep(3000);
            group.readMillis = READ_MILLIS;
            group.timer.scheduleAtFixedRate(() -> record.line("answers to " + READERS + " readers so far: " + answers), 1, 1, TimeUnit.SECONDS);
            for (int i = 0; i < READERS; i++) Group.daemon(() -> readers(fleet)).start();
            Thread.sleep(1000);
            if (trouble) {
                record.line("the primary " + primary.id + " crashes with " + primary.log.size() + " commits, " + acknowledged.size() + " acknowledged");
                primary.crash();
                Thread.sleep(2500);
                group.instances.get(2).hear(true);
                Thread.sleep(6000);
                if (missing[0] < 0) return Case.cannotRun(record, "nothing was promoted");
            } else {
                Thread.sleep(8000);
                missing[0] = missingIn(record, acknowledged, group.primary());
            }
            record.line(missing[0] + " acknowledged commits are missing from the log of the promoted instance");
            return missing[0] > 0 ? 1 : 0;
        }
    }

    private static int missingIn(Fleet.Record record, Map<String, String> acknowledged, Group.Instance leader) {
        int missing = 0;
        Map<String, String> before;
        synchronized (acknowledged) {
            before = new LinkedHashMap<>(acknowledged);
        }
        for (Map.Entry<String, String> write : before.entrySet()) {
            boolean isThere = leader.log.stream().anyMatch(e -> e.id().equals(write.getKey()));
            if (isThere) continue;
            missing++;
            record.line("LOST: " + write.getValue() + " of request " + write.getKey() + " is not in the log of " + leader.id);
        }
        return missing;
    }

    private static void readers(Fleet fleet) {
        int n = 0;
        while (true) {
            try (Client client = new Client(null, "reader", fleet.sessionIps.get(0), fleet.callerPort, "status", "k1", 3000)) {
                while (true) {
                    Client.Reply reply = client.query("r" + Thread.currentThread().getId() + "x" + n++, "READ a" + n % 50);
                    answers.computeIfAbsent(reply.code(), code -> new AtomicInteger()).incrementAndGet();
                    if (!reply.isComplete()) Thread.sleep(3);
                }
            } catch (IOException e) {
                sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void write(Fleet fleet, Fleet.Record record, Map<String, String> acknowledged, int writer) {
        AtomicInteger n = new AtomicInteger();
        while (true) {
            try (Client client = new Client(record, "writer", fleet.sessionIps.get(0), fleet.callerPort, "bookings", "k1", 3000)) {
                while (true) {
                    String id = "w" + writer + "x" + n.incrementAndGet();
                    String data = "d" + id;
                    Client.Reply reply = client.query(id, "WRITE a" + n.get() % 50 + " " + data);
                    if (reply.isComplete()) acknowledged.put(id, data);
                    sleep(40);
                }
            } catch (IOException e) {
                record.line("a writer's connection ended: " + e.getMessage());
                sleep(50);
            }
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
