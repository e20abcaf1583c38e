import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** A client writes data that holds a line feed; lines end with CR LF. */
final class Smuggle extends Case {
    public static void main(String[] arguments) throws Exception {
        new Smuggle().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        startDeployment(3, 1, 1);
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("keyOfA", "tenant-a");
        configure(configuration(1, keys));
        awaitReady();
        Thread.sleep(1_500);
        warmUp("primary-svc0", "keyOfA");
        String separator = hasTrouble ? "\n" : " ";
        String inner = "QUERY 00000000000000ff WRITE other gift";
        try (Wire session = open(0, "primary-svc0", "keyOfA")) {
            Wire.Answer answer = session.query("WRITE note first" + separator + inner);
            log("client: " + answer.id() + " WRITE note first" + separator + inner + " is answered with " + answer.summary());
            Thread.sleep(1_000);
        }
        logRuns();
        boolean isHeld = true;
        for (Instance.Run run : Instance.RUNS) {
            String sent = Wire.SENT.get(run.id());
            if (run.text().equals(sent)) continue;
            log("UNASKED: an instance ran " + run.id() + " " + run.text() + "; the client sent under this id: " + sent);
            isHeld = false;
        }
        return isHeld;
    }
}
