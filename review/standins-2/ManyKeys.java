import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A valid configuration gives one tenant many keys; the platform starts each process again that ends. */
final class ManyKeys {
    private static final int MANY_KEYS = Integer.parseInt(System.getenv().getOrDefault("KEYS", "1000"));
    private static final int FEW_KEYS = 20;
    private static final long PLAY_MILLIS = 60_000;

    public static void main(String[] args) {
        Case.main(args, 3, 2, ManyKeys::play);
    }

    private static int play(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception {
        Group group = new Group(fleet, "ledger", 3, 3, 36, 0, 61);
        try (group; Platform platform = new Platform(fleet, List.of(group))) {
            fleet.startAll();
            byte[] first = LargeResult.CONFIGURATION.getBytes(StandardCharsets.UTF_8);
            if (fleet.configure(first, 20_000) != 200) return Case.cannotRun(record, "no configuration");
            group.start();
            if (!fleet.awaitReady(20_000)) return Case.cannotRun(record, "no daemon is ready");
            Thread.sleep(3000);
            LargeResult.Counters counters = new LargeResult.Counters(fleet, record);
            counters.start();
            Thread.sleep(3000);
            counters.note();
            AtomicInteger attempts = new AtomicInteger();
            AtomicBoolean isAcknowledged = new AtomicBoolean();
            int keys = trouble ? MANY_KEYS : FEW_KEYS;
            Group.daemon(() -> order(fleet, record, document(keys), attempts, isAcknowledged)).start();
            Map<String, Integer> ends = new ConcurrentHashMap<>();
            long end = System.currentTimeMillis() + PLAY_MILLIS;
            while (System.currentTimeMillis() < end && !isAcknowledged.get() && ends.values().stream().filter(n -> n >= 3).count() < 2) {
                Thread.sleep(1000);
                counters.note();
                for (String each : fleet.controlIps) {
                    if (fleet.processes.get("control-" + each).isAlive()) continue;
                    ends.merge(each, 1, Integer::sum);
                    fleet.start("control", each, false);
                }
            }
            counters.note();
            record.line("the configuration was sent " + attempts + " times and " + (isAcknowledged.get() ? "acknowledged" : "never acknowledged"));
            record.line("control processes that ended by themselves, by machine: " + ends);
            return ends.values().stream().filter(n -> n >= 3).count() >= 2 ? 1 : 0;
        }
    }

    /** Sends the order until it gets a clear response, to one control machine after the other. */
    private static void order(Fleet fleet, Fleet.Record record, byte[] body, AtomicInteger attempts, AtomicBoolean isAcknowledged) {
        try {
            long pause = 200;
            while (true) {
                String ip = fleet.controlIps.get(attempts.get() % fleet.controlIps.size());
                attempts.incrementAndGet();
                int status = fleet.put(ip, "/buckthornhub/configuration", body);
                record.line("version 9 of " + body.length + " bytes to " + ip + ": " + (status == 0 ? "no answer" : status));
                if (status == 200) {
                    isAcknowledged.set(true);
                    return;
                }
                Thread.sleep(pause);
                pause = Math.min(2000, pause * 2);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] document(int count) {
        StringBuilder keys = new StringBuilder("\"k1\"");
        for (int i = 0; i < count; i++) keys.append(",\"u6wsjnbanfqas").append(1_000_000 + i).append('"');
        String text = LargeResult.CONFIGURATION.replace("\"version\":7", "\"version\":9").replace("\"k1\"", keys);
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
