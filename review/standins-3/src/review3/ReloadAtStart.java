package review3;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A daemon and a control VM are started again, and the settings change shortly after: the platform sends SIGHUP. With TROUBLE=0 the
 * same signal comes three seconds after the start.
 */
public final class ReloadAtStart {
    private static final long AFTER_START_MILLIS = 250;
    private static final long LATER_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review3-");
        int exit = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), folder, Path.of(arguments[1]), 1)) {
            exit = run(fleet, hasTrouble ? AFTER_START_MILLIS : LATER_MILLIS);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    private static int run(Fleet fleet, long afterMillis) throws Exception {
        Process control = fleet.start("control", 1, true);
        fleet.configure("{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":[]}");
        Process daemon = fleet.start("sessions", 1, true);
        fleet.awaitReady(1);
        fleet.record("both programs run");
        int ended = 0;
        for (String role : new String[] {"sessions", "control"}) {
            (role.equals("control") ? control : daemon).destroyForcibly().waitFor();
            Process process = fleet.start(role, 1, false);
            Thread.sleep(afterMillis);
            new ProcessBuilder("kill", "-HUP", "" + process.pid()).start().waitFor();
            fleet.record(role + "-1 was started again, SIGHUP after " + afterMillis + " ms");
            Thread.sleep(2_500);
            boolean isAlive = process.isAlive();
            fleet.record(role + "-1 " + (isAlive ? "runs" : "has ended by itself with exit code " + process.exitValue()));
            if (!isAlive) {
                ended++;
                fleet.start(role, 1, false);
                Thread.sleep(2_000);
            }
        }
        return ended == 0 ? 0 : 1;
    }
}
