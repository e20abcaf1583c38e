package review3;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sessions stand open on one daemon and keep values and prepared statements, each shorter than 2 KB, while ordinary callers read and
 * write. With TROUBLE=0 each session keeps a tenth of the names.
 */
public final class KeptNames {
    /** As many sessions as the sheet of the site says stand open. */
    private static final int SESSIONS = 208;
    private static final int NAME_BYTES = 1_500;
    private static final int ORDINARY = 4;
    private static final long LIMIT_MILLIS = 95_000;

    private final AtomicInteger kept = new AtomicInteger();
    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final Fleet fleet;
    private final int names;

    private KeptNames(Fleet fleet, int names) {
        this.fleet = fleet;
        this.names = names;
    }

    public static void main(String[] arguments) throws Exception {
        int names = "0".equals(System.getenv("TROUBLE")) ? 10 : 100;
        Path folder = Files.createTempDirectory("review3-");
        int exit = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), folder, Path.of(arguments[1]), 1)) {
            exit = new KeptNames(fleet, names).run();
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    private int run() throws Exception {
        fleet.start("control", 1, true);
        Process daemon = fleet.start("sessions", 1, true);
        fleet.configure("{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"orders\",\"path-prefix\":\"/\",\"type\":\"read_your_writes\",\"timeout-ms\":1000," +
            "\"target-latency-ms\":400,\"priority\":1,\"service\":\"ledger\",\"max-attempts\":2,\"max-staleness-ms\":2500,\"anonymous\":false}]," +
            "\"services\":[{\"name\":\"ledger\",\"max-conns\":36,\"sync-replicas\":0}],\"limits\":{\"txn-idle-ms\":3000}," +
            "\"tenants\":[{\"name\":\"tenant\",\"api-keys\":[\"key\"],\"priority\":1,\"rate-per-s\":900,\"burst\":900}]}");
        new Instance(fleet, "ledger", "i-1", 1);
        fleet.awaitReady(1);
        Thread.sleep(1_500);
        fleet.record(SESSIONS + " sessions, each with " + names + " values and " + names + " prepared statements of " + NAME_BYTES + " bytes; pid " + daemon.pid());
        for (int i = 0; i < ORDINARY; i++) Threads.start("ordinary-" + i, this::work);
        Thread.sleep(1_000);
        for (int i = 0; i < SESSIONS; i++) {
            int seed = i;
            Threads.start("session-" + i, () -> keep(seed));
        }
        long endMillis = System.currentTimeMillis() + LIMIT_MILLIS;
        long completeMillis = Long.MAX_VALUE;
        while (System.currentTimeMillis() < endMillis && daemon.isAlive() && System.currentTimeMillis() - completeMillis < 8_000) {
            Thread.sleep(1_000);
            report("");
            if (complete.get() >= SESSIONS && completeMillis == Long.MAX_VALUE) completeMillis = System.currentTimeMillis();
        }
        Thread.sleep(500);
        boolean isAlive = daemon.isAlive();
        boolean isReady = isAlive && (fleet.isReady(1) || fleet.isReady(1));
        report("at the end: ");
        fleet.record(isAlive ? "the daemon runs, ready: " + isReady : "the daemon has ended by itself with exit code " + daemon.exitValue());
        fleet.record("log of the daemon: " + fleet.faultsIn("sessions", 1));
        if (served.get() == 0 || kept.get() == 0) return 2;
        return isAlive && isReady ? 0 : 1;
    }

    private void report(String when) {
        fleet.record(when + "names acknowledged " + kept + ", sessions with all of theirs " + complete + ", sessions ended " + ended +
            "; ordinary statements served " + served + ", refused " + refused + ", ended without an answer " + broken);
    }

    /** Opens a session, which keeps its names and then stands idle; opens it again after a close. */
    private void keep(int seed) throws Exception {
        Random random = new Random(seed);
        while (true) {
            try (Caller caller = connect()) {
                for (int i = 0; i < names; i++) {
                    if (Caller.isDone(caller.run("SET v" + i + " " + text(random)))) kept.incrementAndGet();
                    if (Caller.isDone(caller.run("PARSE s" + i + " READ " + text(random)))) kept.incrementAndGet();
                }
                complete.incrementAndGet();
                Thread.sleep(LIMIT_MILLIS);
            } catch (IOException e) {
                ended.incrementAndGet();
                Thread.sleep(1_000);
            }
        }
    }

    private void work() throws Exception {
        for (int i = 0; ; i++) {
            try (Caller caller = connect()) {
                while (true) {
                    List<String> answer = caller.run(i++ % 3 == 0 ? "WRITE item" + i % 50 + " value" : "READ item" + i % 50);
                    (Caller.isDone(answer) ? served : refused).incrementAndGet();
                    Thread.sleep(20);
                }
            } catch (IOException e) {
                broken.incrementAndGet();
                Thread.sleep(200);
            }
        }
    }

    private Caller connect() throws IOException {
        return new Caller(fleet.ip("sessions", 1), fleet.port("callers"), "orders", "key");
    }

    private static String text(Random random) {
        StringBuilder text = new StringBuilder(NAME_BYTES + 16);
        while (text.length() < NAME_BYTES) text.append(Long.toString(random.nextLong() & Long.MAX_VALUE, 36));
        text.setLength(NAME_BYTES);
        return text.toString();
    }
}
