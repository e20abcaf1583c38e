package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers open a session for one operation: they prepare a read, run it, and end the session. With TROUBLE=1 the texts differ, as if an
 * application wrote its values into them; with TROUBLE=0 there are ten texts in all.
 */
public final class PreparedTexts {
    private static final int DATABASES = 3;
    private static final int INSTANCES = 3;
    private static final int CALLERS = 60;
    private static final int SHAPE_BYTES = 6_000;
    private static final long WORK_MILLIS = 30;
    private static final long RUN_MILLIS = 85_000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final Fleet fleet;
    private final boolean hasTrouble;

    private PreparedTexts(Fleet fleet, boolean hasTrouble) {
        this.fleet = fleet;
        this.hasTrouble = hasTrouble;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review3-");
        int exit = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), folder, Path.of(arguments[1]), 1)) {
            exit = new PreparedTexts(fleet, hasTrouble).run();
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    private int run() throws Exception {
        fleet.start("control", 1, true);
        Process daemon = fleet.start("sessions", 1, true);
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (int i = 0; i < DATABASES; i++) {
            routes.append(i > 0 ? "," : "").append("{\"name\":\"r").append(i).append("\",\"host\":\"orders").append(i)
                .append("\",\"path-prefix\":\"/\",\"type\":\"bounded_staleness\",\"timeout-ms\":2000,\"target-latency-ms\":600,\"priority\":1,")
                .append("\"service\":\"ledger").append(i).append("\",\"max-attempts\":2,\"max-staleness-ms\":1500,\"anonymous\":false}");
            services.append(i > 0 ? "," : "").append("{\"name\":\"ledger").append(i).append("\",\"max-conns\":36,\"sync-replicas\":0}");
        }
        fleet.configure("{\"version\":1,\"routes\":[" + routes + "],\"services\":[" + services + "],\"limits\":{\"txn-idle-ms\":3000}," +
            "\"tenants\":[{\"name\":\"tenant\",\"api-keys\":[\"key\"],\"priority\":1,\"rate-per-s\":2000,\"burst\":2000}]}");
        for (int i = 0; i < DATABASES; i++) {
            Instance.Log log = new Instance.Log();
            for (int k = 0; k < INSTANCES; k++) {
                new Instance(fleet, "ledger" + i, "i-" + i + "-" + k, 1 + INSTANCES * i + k, log, k == 0, WORK_MILLIS);
            }
        }
        fleet.awaitReady(1);
        Thread.sleep(2_000);
        fleet.record(CALLERS + " callers, texts of " + SHAPE_BYTES + " bytes, new each time: " + hasTrouble + "; pid " + daemon.pid());
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Threads.start("caller-" + i, () -> call(number));
        }
        long endMillis = System.currentTimeMillis() + (hasTrouble ? RUN_MILLIS : RUN_MILLIS / 2);
        while (System.currentTimeMillis() < endMillis && daemon.isAlive()) {
            Thread.sleep(2_000);
            report("");
        }
        Thread.sleep(500);
        boolean isAlive = daemon.isAlive();
        boolean isReady = isAlive && (fleet.isReady(1) || fleet.isReady(1));
        report("at the end: ");
        fleet.record(isAlive ? "the daemon runs, ready: " + isReady : "the daemon has ended by itself with exit code " + daemon.exitValue());
        fleet.record("log of the daemon: " + fleet.faultsIn("sessions", 1));
        if (served.get() == 0) return 2;
        return isAlive && isReady ? 0 : 1;
    }

    private void report(String when) {
        fleet.record(when + "operations served " + served + ", refused " + refused + ", sessions that ended without an answer " + broken);
    }

    private void call(int number) throws Exception {
        Random random = new Random(number);
        while (true) {
            String shape = hasTrouble ? text(random) : text(new Random(random.nextInt(10)));
            try (Caller caller = new Caller(fleet.ip("sessions", 1), fleet.port("callers"), "orders" + number % DATABASES, "key")) {
                boolean isPrepared = Caller.isDone(caller.run("PARSE s1 READ " + shape));
                List<String> answer = caller.run("EXECUTE s1 item" + number);
                (isPrepared && Caller.isDone(answer) ? served : refused).incrementAndGet();
            } catch (IOException e) {
                broken.incrementAndGet();
                Thread.sleep(500);
            }
        }
    }

    private static String text(Random random) {
        StringBuilder text = new StringBuilder(SHAPE_BYTES + 16);
        while (text.length() < SHAPE_BYTES) text.append(Long.toString(random.nextLong() & Long.MAX_VALUE, 36));
        text.setLength(SHAPE_BYTES);
        return text.toString();
    }
}
