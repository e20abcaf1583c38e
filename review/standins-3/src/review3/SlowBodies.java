package review3;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Peers send bodies to one of three control VMs, nine tenths at once and the rest a byte at a time; one whose connection ends begins
 * again after half a second. With TROUBLE=0 there are four such peers instead of 138.
 */
public final class SlowBodies {
    /** The largest count of `rude` in a site file in force. */
    private static final int PEERS = 138;
    private static final int FEW_PEERS = 4;
    private static final int BODY_BYTES = 1_000_000;
    private static final int PIECE_BYTES = 16_384;
    private static final long BYTE_PAUSE_MILLIS = 100;
    private static final long AGAIN_MILLIS = 500;
    private static final long RUN_MILLIS = 70_000;
    private static final int CONTROLS = 3;

    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private final Fleet fleet;

    private SlowBodies(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) throws Exception {
        int peers = "0".equals(System.getenv("TROUBLE")) ? FEW_PEERS : PEERS;
        Path folder = Files.createTempDirectory("review3-");
        int exit = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), folder, Path.of(arguments[1]), CONTROLS)) {
            exit = new SlowBodies(fleet).run(peers);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(exit);
    }

    private int run(int peers) throws Exception {
        Process[] controls = new Process[CONTROLS];
        for (int i = 0; i < CONTROLS; i++) controls[i] = fleet.start("control", i + 1, true);
        fleet.configure("{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"orders\",\"path-prefix\":\"/\",\"type\":\"primary\",\"timeout-ms\":1000," +
            "\"target-latency-ms\":400,\"priority\":1,\"service\":\"ledger\",\"max-attempts\":2,\"anonymous\":false}]," +
            "\"services\":[{\"name\":\"ledger\",\"max-conns\":36,\"sync-replicas\":0}],\"limits\":{\"txn-idle-ms\":3000}," +
            "\"tenants\":[{\"name\":\"tenant\",\"api-keys\":[\"key\"],\"priority\":1,\"rate-per-s\":90,\"burst\":90}]}");
        Thread.sleep(2_000);
        fleet.record("control-1 answers a read with " + read(1) + "; " + peers + " peers begin, each with a body of " + BODY_BYTES + " bytes");
        long endMillis = System.currentTimeMillis() + RUN_MILLIS;
        for (int i = 0; i < peers; i++) Threads.start("peer-" + i, () -> send(endMillis));
        int answered = 0;
        int asked = 0;
        while (System.currentTimeMillis() < endMillis && controls[0].isAlive()) {
            Thread.sleep(2_000);
            int status = read(1);
            asked++;
            if (status > 0) answered++;
            fleet.record("control-1 answers a read with " + (status > 0 ? status : "nothing within 2 s") + "; connections begun " + connections +
                ", ended by control-1 " + ended);
        }
        Thread.sleep(3_000);
        boolean isAlive = controls[0].isAlive();
        boolean isAnswering = isAlive && (read(1) > 0 || read(1) > 0 || read(1) > 0);
        fleet.record("control-1 answered " + answered + " of " + asked + " reads; it " +
            (isAlive ? "runs, answers after the peers have left: " + isAnswering : "has ended by itself with exit code " + controls[0].exitValue()));
        fleet.record("control-2 answers with " + read(2) + "; log of control-1: " + fleet.faultsIn("control", 1));
        return isAlive && isAnswering ? 0 : 1;
    }

    private int read(int index) {
        return fleet.send("GET", fleet.controlAddress(index), "/buckthornhub/configuration", null);
    }

    private void send(long endMillis) throws Exception {
        byte[] piece = new byte[PIECE_BYTES];
        Arrays.fill(piece, (byte) 'x');
        byte[] head = ("PUT /buckthornhub/configuration HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: " + BODY_BYTES +
            "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        while (System.currentTimeMillis() < endMillis) {
            try (Socket socket = Fleet.connect(fleet.ip("control", 1), fleet.port("control"))) {
                connections.incrementAndGet();
                OutputStream out = socket.getOutputStream();
                out.write(head);
                for (int left = BODY_BYTES / 10 * 9; left > 0; left -= PIECE_BYTES) out.write(piece, 0, Math.min(left, PIECE_BYTES));
                while (System.currentTimeMillis() < endMillis) {
                    out.write('x');
                    Thread.sleep(BYTE_PAUSE_MILLIS);
                }
            } catch (IOException e) {
                ended.incrementAndGet();
                Thread.sleep(AGAIN_MILLIS);
            }
        }
    }
}
