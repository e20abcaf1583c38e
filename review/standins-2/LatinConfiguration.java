import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** An operator sends a configuration that is not UTF-8, so that it can't be read in full. */
final class LatinConfiguration {
    private static final String KEY = "cl\u00e9-1";
    /** Another key: its second vowel is the replacement character U+FFFD. No configuration holds it. */
    private static final String OTHER_KEY = "cl\ufffd-1";

    public static void main(String[] args) {
        Case.main(args, 3, 1, LatinConfiguration::play);
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
            String next = LargeResult.CONFIGURATION.replace("\"version\":7", "\"version\":9").replace("\"k1\"", "\"k1\",\"" + KEY + "\"");
            byte[] sent = next.getBytes(trouble ? StandardCharsets.ISO_8859_1 : StandardCharsets.UTF_8);
            int status = fleet.configure(sent, 10_000);
            record.line("version 9, with a key in " + (trouble ? "ISO 8859-1" : "UTF-8") + ", is answered with " + status);
            if (status != 200) return trouble ? 0 : Case.cannotRun(record, "a valid configuration was refused");
            Thread.sleep(4000);
            byte[] read = fleet.readConfiguration(5000);
            boolean isSame = Arrays.equals(sent, read);
            record.line("read back: " + (isSame ? "what was sent" : "other bytes than were sent, as version 9"));
            boolean isKnownRun = isRun(fleet, record, "known", new String(KEY.getBytes(trouble ? StandardCharsets.ISO_8859_1 : StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1));
            boolean isOtherRun = isRun(fleet, record, "other", new String(OTHER_KEY.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1));
            record.line("a write runs with the key of version 9: " + isKnownRun + "; with a key that no configuration ever held: " + isOtherRun);
            return !isSame || isOtherRun ? 1 : 0;
        }
    }

    private static boolean isRun(Fleet fleet, Fleet.Record record, String label, String key) {
        try (Client client = new Client(record, label, fleet.sessionIps.get(0), fleet.callerPort, "bookings", key, 3000)) {
            return client.query(label, "WRITE a1 d1").isComplete();
        } catch (IOException e) {
            record.line(label + " got no session: " + e.getMessage());
            return false;
        }
    }
}
