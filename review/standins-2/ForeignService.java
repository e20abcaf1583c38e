import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Heartbeats of a replica of a service that no configuration names stray to the control machines. */
final class ForeignService {
    public static void main(String[] args) {
        Case.main(args, 3, 1, ForeignService::play);
    }

    private static int play(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
        Group group = new Group(fleet, "ledger", 3, 3, 36, 0, 61);
        // Its primary and other replica report to the system that serves it, which has nothing to do with this one.
        Group foreign = new Group(fleet, "archive", 3, 3, 36, 0, 71);
        foreign.isHeard = false;
        AtomicInteger orders = new AtomicInteger();
        try (group; foreign; Platform platform = new Platform(fleet, List.of(group, foreign))) {
            platform.onOrder = service -> {
                if (service.equals("archive")) orders.incrementAndGet();
            };
            fleet.startAll();
            if (fleet.configure(LargeResult.CONFIGURATION.getBytes(StandardCharsets.UTF_8), 20_000) != 200) return Case.cannotRun(record, "no configuration");
            group.start();
            foreign.start();
            if (!fleet.awaitReady(20_000)) return Case.cannotRun(record, "no daemon is ready");
            Thread.sleep(3000);
            Group.Instance leader = foreign.primary();
            AtomicInteger commits = new AtomicInteger();
            foreign.timer.scheduleAtFixedRate(() -> {
                try {
                    int n = commits.incrementAndGet();
                    leader.commit(List.of(new Group.Entry(0, 0, "b" + n, "d" + n, "f" + n)));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }, 0, 20, TimeUnit.MILLISECONDS);
            try (Client client = new Client(record, "client", fleet.sessionIps.get(0), fleet.callerPort, "bookings", "k1", 3000)) {
                for (int i = 0; i < 10; i++) client.query("s" + i, "WRITE a" + i + " d" + i);
            }
            if (trouble && System.getenv("SAME_ADDRESS") != null) {
                shutOut(fleet, record, group);
            } else if (trouble) {
                Group.Instance stray = foreign.instances.get(1);
                record.line("a heartbeat of " + stray.id + " of the service archive goes to the control machines, each 1.2 s");
                for (int i = 0; i < 5; i++) {
                    stray.send();
                    Thread.sleep(1200);
                }
            } else {
                Thread.sleep(6000);
            }
            record.line("statements that instances of archive got: " + foreign.statements + "; orders to promote in archive: " + orders
                + "; its primary is " + foreign.primary().id + ", and was " + leader.id);
            return foreign.statements.get() > 0 || orders.get() > 0 ? 1 : 0;
        }
    }

    /** Not part of the check: each such heartbeat has the address of an instance of the system's own service, and a newer start. */
    private static void shutOut(Fleet fleet, Fleet.Record record, Group group) throws InterruptedException {
        LargeResult.Counters counters = new LargeResult.Counters(fleet, record);
        counters.start();
        Thread.sleep(2000);
        counters.note();
        for (Group.Instance instance : group.instances) {
            String body = "{\"service\":\"archive\",\"address\":\"" + instance.ip + ":" + instance.port + "\",\"zone\":\"" + instance.zone
                + "\",\"version\":\"v1\",\"capacity\":3,\"state\":\"ready\",\"warmup-left-ms\":0,\"db-role\":\"replica\",\"sequence\":1,\"born\":"
                + System.currentTimeMillis() + "}";
            for (String ip : fleet.controlIps) {
                int status = fleet.put(ip, "/buckthornhub/instances/x-" + instance.id, body.getBytes(StandardCharsets.UTF_8));
                record.line("heartbeat of x-" + instance.id + " of the service archive at " + instance.ip + " to " + ip + ": " + status);
                if (status == 200) break;
            }
        }
        for (int i = 0; i < 8; i++) {
            Thread.sleep(2500);
            counters.note();
        }
    }
}
