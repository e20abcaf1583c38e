import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Long sessions prepare many statements, set many values, and then rest; the platform starts each process again that ends. */
final class ManyPrepared {
    private static final int SESSIONS = Integer.parseInt(System.getenv().getOrDefault("SESSIONS", "60"));
    /** The most that a session of this project may hold, of each kind. */
    private static final int NAMES = 256;
    private static final int LONG_SHAPE = 3_900;
    private static final int SHORT_SHAPE = 20;
    private static final long PLAY_MILLIS = 85_000;

    public static void main(String[] args) {
        Case.main(args, 1, 2, ManyPrepared::play);
    }

    private static int play(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
        Group group = new Group(fleet, "ledger", 3, 3, 36, 0, 61);
        try (group; Platform platform = new Platform(fleet, List.of(group))) {
            fleet.startAll();
            if (fleet.configure(LargeResult.CONFIGURATION.getBytes(StandardCharsets.UTF_8), 20_000) != 200) return Case.cannotRun(record, "no configuration");
            group.start();
            if (!fleet.awaitReady(20_000)) return Case.cannotRun(record, "no daemon is ready");
            Thread.sleep(3000);
            LargeResult.Counters counters = new LargeResult.Counters(fleet, record);
            counters.start();
            AtomicInteger prepared = new AtomicInteger();
            AtomicInteger refused = new AtomicInteger();
            for (String ip : fleet.sessionIps) {
                for (int i = 0; i < SESSIONS; i++) {
                    int session = i;
                    Group.daemon(() -> rest(fleet, record, ip, session, trouble ? LONG_SHAPE : SHORT_SHAPE, prepared, refused)).start();
                }
            }
            Map<String, Integer> ends = new ConcurrentHashMap<>();
            long end = System.currentTimeMillis() + PLAY_MILLIS;
            while (System.currentTimeMillis() < end && ends.values().stream().filter(n -> n >= 3).count() < 2) {
                Thread.sleep(1000);
                for (String each : fleet.sessionIps) {
                    if (fleet.processes.get("sessions-" + each).isAlive()) continue;
                    ends.merge(each, 1, Integer::sum);
                    fleet.start("sessions", each, false);
                }
            }
            counters.note();
            record.line(prepared + " statements prepared, " + refused + " refused");
            record.line("processes that ended by themselves, by machine: " + ends);
            return ends.values().stream().filter(n -> n >= 3).count() >= 2 ? 1 : 0;
        }
    }

    /** A session that reconnects after a close, prepares its statements and sets its values, and prepares one anew now and then. */
    private static void rest(Fleet fleet, Fleet.Record record, String ip, int session, int shapeChars, AtomicInteger prepared, AtomicInteger refused) {
        String shape = "q".repeat(shapeChars);
        while (true) {
            try (Client client = new Client(null, "", ip, fleet.callerPort, "receipts", "k1", 5000)) {
                for (int i = 0; i < NAMES; i++) {
                    Client.Reply reply = client.query("p" + i, "PARSE s" + i + " READ " + shape + i);
                    (reply.isComplete() ? prepared : refused).incrementAndGet();
                    if (!client.query("v" + i, "SET v" + i + " " + shape + i).isComplete()) refused.incrementAndGet();
                }
                record.line("session " + session + " at " + ip + " has prepared " + NAMES + " statements and set as many values, of " + shapeChars + " characters each");
                while (true) {
                    Thread.sleep(5000);
                    client.query("p", "PARSE s0 READ " + shape);
                }
            } catch (IOException e) {
                record.line("session " + session + " at " + ip + " was closed: " + e.getMessage());
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(500);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
