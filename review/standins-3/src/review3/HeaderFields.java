package review3;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Other writers send heartbeats to one control VM. With TROUBLE=1 the heartbeats have many header fields, 7.8 KB each, and never end;
 * the writers leave after some seconds. With TROUBLE=0 as many writers send a complete heartbeat with ordinary header fields.
 */
public final class HeaderFields {
    /** A hundred in each of four zones. */
    private static final int WRITERS = 400;
    private static final int FIELDS = 1_940;
    private static final long STAY_MILLIS = 10_000;
    private static final long RECOVERY_MILLIS = 50_000;
    private static final int CONTROLS = 3;

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review3-");
        int exit = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), folder, Path.of(arguments[1]), CONTROLS)) {
            exit = run(fleet, hasTrouble);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    private static int run(Fleet fleet, boolean hasTrouble) throws Exception {
        Process[] controls = new Process[CONTROLS];
        for (int i = 0; i < CONTROLS; i++) controls[i] = fleet.start("control", i + 1, true);
        fleet.configure("{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"orders\",\"path-prefix\":\"/\",\"type\":\"primary\",\"timeout-ms\":1000," +
            "\"target-latency-ms\":400,\"priority\":1,\"service\":\"ledger\",\"max-attempts\":2,\"anonymous\":false}]," +
            "\"services\":[{\"name\":\"ledger\",\"max-conns\":36,\"sync-replicas\":0}],\"limits\":{\"max-header-bytes\":16384,\"txn-idle-ms\":3000}," +
            "\"tenants\":[{\"name\":\"tenant\",\"api-keys\":[\"key\"],\"priority\":1,\"rate-per-s\":90,\"burst\":90}]}");
        Thread.sleep(2_000);
        for (int i = 1; i <= CONTROLS; i++) fleet.record("control-" + i + " answers a read of the configuration with " + read(fleet, i));
        byte[] heartbeat = (hasTrouble ? manyFields() : complete()).getBytes(StandardCharsets.ISO_8859_1);
        List<Socket> writers = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < WRITERS; i++) {
            try {
                Socket socket = Fleet.connect(fleet.ip("control", 1), fleet.port("control"));
                writers.add(socket);
                socket.getOutputStream().write(heartbeat);
            } catch (IOException e) {
                refused++;
            }
        }
        fleet.record(writers.size() + " writers have sent " + heartbeat.length + " bytes each to control-1, " + refused + " could not");
        Thread.sleep(STAY_MILLIS);
        for (Socket socket : writers) socket.close();
        fleet.record("all writers have closed their connections");
        long endMillis = System.currentTimeMillis() + RECOVERY_MILLIS;
        int answered = 0;
        int asked = 0;
        int lastAnswered = 0;
        while (System.currentTimeMillis() < endMillis) {
            int status = read(fleet, 1);
            asked++;
            if (status > 0) {
                answered++;
                lastAnswered = asked;
            }
            fleet.record("control-1 answers a read with " + (status > 0 ? status : "nothing within 2 s") + ", runs: " + controls[0].isAlive() +
                "; control-2 answers with " + read(fleet, 2));
            if (answered >= 10 && lastAnswered == asked) break;
            Thread.sleep(1_000);
        }
        boolean isAlive = controls[0].isAlive();
        boolean isAnswering = lastAnswered == asked;
        fleet.record("control-1 answered " + answered + " of " + asked + " reads after the writers had left; it " +
            (isAlive ? "runs" : "has ended by itself with exit code " + controls[0].exitValue()));
        fleet.record("log of control-1: " + fleet.faultsIn("control", 1));
        return isAlive && isAnswering ? 0 : 1;
    }

    private static int read(Fleet fleet, int index) {
        return fleet.send("GET", fleet.controlAddress(index), "/buckthornhub/configuration", null);
    }

    private static String manyFields() {
        StringBuilder text = new StringBuilder("PUT /buckthornhub/instances/i-0 HTTP/1.1\r\n");
        for (int i = 0; i < FIELDS; i++) text.append((char) ('a' + i % 26)).append(":\r\n");
        return text.toString();
    }

    private static String complete() {
        String body = "{\"service\":\"elsewhere\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"state\":\"ready\",\"db-role\":\"replica\",\"sequence\":1,\"born\":1}";
        return "PUT /buckthornhub/instances/i-0 HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " + body.length() +
            "\r\n\r\n" + body;
    }
}
