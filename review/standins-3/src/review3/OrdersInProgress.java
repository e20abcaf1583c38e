package review3;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator sends configurations of nearly the largest size to three control VMs, and reads the configuration back. With TROUBLE=1
 * eight orders are in progress at once, with TROUBLE=0 one, with a pause of a second after each.
 */
public final class OrdersInProgress {
    private static final int CONTROLS = 3;
    private static final int DAEMONS = 2;
    private static final int IN_PROGRESS = 8;
    private static final int READERS = 8;
    private static final int TENANTS = 80;
    private static final int KEYS = 452;
    private static final long RUN_MILLIS = 85_000;

    private final AtomicInteger version = new AtomicInteger(10);
    private final AtomicInteger acknowledged = new AtomicInteger();
    private final AtomicInteger unclear = new AtomicInteger();
    private final AtomicInteger readBack = new AtomicInteger();
    private final AtomicInteger readFailed = new AtomicInteger();
    private final Fleet fleet;

    private OrdersInProgress(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review3-");
        int exit = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), folder, Path.of(arguments[1]), CONTROLS)) {
            exit = new OrdersInProgress(fleet).run(hasTrouble);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    private int run(boolean hasTrouble) throws Exception {
        Process[] controls = new Process[CONTROLS];
        for (int i = 0; i < CONTROLS; i++) controls[i] = fleet.start("control", i + 1, true);
        for (int i = 0; i < DAEMONS; i++) fleet.start("sessions", i + 1, true);
        fleet.configure(document(1));
        fleet.record("a configuration has " + document(100).length() + " bytes and " + TENANTS * KEYS + " keys");
        long endMillis = System.currentTimeMillis() + RUN_MILLIS;
        for (int i = 0; i < (hasTrouble ? IN_PROGRESS : 1); i++) {
            int first = i;
            Threads.start("order-" + i, () -> order(first, hasTrouble, endMillis));
        }
        for (int i = 0; i < (hasTrouble ? READERS : 1); i++) {
            int first = i;
            Threads.start("read-" + i, () -> read(first, endMillis));
        }
        int ended = 0;
        while (System.currentTimeMillis() < endMillis && ended == 0) {
            Thread.sleep(2_000);
            ended = 0;
            for (Process control : controls) ended += control.isAlive() ? 0 : 1;
            fleet.record("orders acknowledged " + acknowledged + ", attempts without a clear answer " + unclear + ", reads answered " + readBack +
                ", reads refused or not answered " + readFailed + ", control VMs that ended by themselves " + ended);
        }
        for (int i = 0; i < CONTROLS; i++) {
            fleet.record("control-" + (i + 1) + (controls[i].isAlive() ? " runs" : " has ended by itself with exit code " + controls[i].exitValue()) +
                "; its log: " + fleet.faultsIn("control", i + 1));
        }
        if (acknowledged.get() == 0) return 2;
        return ended == 0 ? 0 : 1;
    }

    private void order(int first, boolean hasTrouble, long endMillis) throws Exception {
        while (System.currentTimeMillis() < endMillis) {
            String document = document(version.incrementAndGet());
            for (int attempt = 0; attempt < 6; attempt++) {
                String address = fleet.controlAddress(1 + (first + attempt) % CONTROLS);
                if (fleet.send("PUT", address, "/buckthornhub/configuration", document) == 200) {
                    acknowledged.incrementAndGet();
                    break;
                }
                unclear.incrementAndGet();
                Thread.sleep(100L << attempt);
            }
            if (!hasTrouble) Thread.sleep(1_000);
        }
    }

    private void read(int first, long endMillis) throws Exception {
        for (int i = first; System.currentTimeMillis() < endMillis; i++) {
            int status = fleet.send("GET", fleet.controlAddress(1 + i % CONTROLS), "/buckthornhub/configuration", null);
            (status == 200 ? readBack : readFailed).incrementAndGet();
            Thread.sleep(20);
        }
    }

    private static String document(int version) {
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"orders\",\"path-prefix\":\"/\"," +
            "\"type\":\"primary\",\"timeout-ms\":" + (1_000 + version % 100) + ",\"target-latency-ms\":400,\"priority\":1,\"service\":\"ledger\"," +
            "\"max-attempts\":2,\"anonymous\":false}],\"services\":[{\"name\":\"ledger\",\"max-conns\":36,\"sync-replicas\":0}]," +
            "\"limits\":{\"max-body-bytes\":262144,\"txn-idle-ms\":3000},\"tenants\":[");
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            text.append(tenant > 0 ? "," : "").append("{\"name\":\"t").append(tenant).append("\",\"api-keys\":[");
            for (int key = 0; key < KEYS; key++) {
                text.append(key > 0 ? "," : "").append('"').append(Integer.toString(50_000 + tenant * 1_000 + key, 36)).append('"');
            }
            text.append("],\"priority\":1,\"rate-per-s\":90,\"burst\":90}");
        }
        return text.append("]}").toString();
    }
}
