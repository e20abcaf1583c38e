import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** A key is taken from one tenant and given to another while a client with this key has a transaction open. */
final class MovedKey extends Case {
    private static final long STEP_MILLIS = 1_000;
    private static final int STEPS = 8;
    /** Later than `revocation-ms` and `config-apply-ms` after the acknowledgement. */
    private static final long BOUND_NANOS = 5_000_000_000L;

    public static void main(String[] arguments) throws Exception {
        new MovedKey().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        startDeployment(3, 1, 1);
        Map<String, String> before = new LinkedHashMap<>();
        before.put("keyOfA", "tenant-a");
        before.put("keyOfB", "tenant-b");
        before.put("moved", "tenant-a");
        Map<String, String> after = new LinkedHashMap<>(before);
        if (hasTrouble) after.put("moved", "tenant-b");
        configure(configuration(1, before));
        awaitReady();
        Thread.sleep(1_500);
        boolean isHeld = true;
        warmUp("primary-svc0", "keyOfB");
        warmUp("primary-svc0", "moved");
        try (Wire session = open(0, "primary-svc0", "moved")) {
            log("client: BEGIN is answered with " + session.query("BEGIN").summary());
            log("client: READ is answered with " + session.query("READ item").summary());
            long acknowledgedNanos = configure(configuration(2, after));
            for (int step = 0; step < STEPS; step++) {
                Thread.sleep(STEP_MILLIS);
                Wire.Answer answer = session.query("WRITE item data" + step);
                log("client: WRITE is answered with " + answer.summary());
                isHeld &= judge(answer, acknowledgedNanos, hasTrouble ? "tenant-b" : "tenant-a");
            }
            Wire.Answer commit = session.query("COMMIT");
            log("client: COMMIT is answered with " + commit.summary());
            isHeld &= judge(commit, acknowledgedNanos, hasTrouble ? "tenant-b" : "tenant-a");
        }
        logRuns();
        return isHeld;
    }

    private boolean judge(Wire.Answer answer, long acknowledgedNanos, String holder) {
        if (answer.sentNanos() - acknowledgedNanos < BOUND_NANOS) return true;
        boolean isHeld = true;
        for (Instance.Run run : Instance.RUNS) {
            if (!run.id().equals(answer.id()) || run.tenant().equals(holder)) continue;
            log(String.format("UNASKED: %s ran for %s %.1f s after the configuration that gave the key to %s was acknowledged",
                run.text(), run.tenant(), (answer.sentNanos() - acknowledgedNanos) / 1e9, holder));
            isHeld = false;
        }
        return isHeld;
    }
}
