import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client's session. */
final class Wire implements AutoCloseable {
    /** @param sentNanos time before the first byte was sent @param lines without READY; null where the connection ended */
    record Answer(String id, String text, long sentNanos, long answeredNanos, List<String> lines, String state) {
        boolean isSuccess() {
            return lines != null && lines.stream().anyMatch(line -> line.startsWith("COMPLETE"));
        }

        String summary() {
            return lines == null ? "no answer" : String.join(" | ", lines) + " | " + state;
        }
    }

    /** All statements that clients have sent, by id. */
    static final Map<String, String> SENT = new ConcurrentHashMap<>();
    private final Socket socket = new Socket();
    private final InputStream in;

    Wire(String ip, String database, String key) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, Deployment.DATA_PLANE), 1_000);
        socket.setSoTimeout(5_000);
        in = new BufferedInputStream(socket.getInputStream());
        write("STARTUP " + database + " " + key + "\r\n");
        String line = readLine(in);
        if (line == null || !line.startsWith("READY")) {
            socket.close();
            throw new IOException("STARTUP was answered with " + line);
        }
    }

    static String newId() {
        return String.format("%016x", java.util.concurrent.ThreadLocalRandom.current().nextLong());
    }

    Answer query(String text) {
        String id = newId();
        SENT.put(id, text);
        Answer answer = exchange(id, text);
        Case.log(Case.seconds(answer.sentNanos()), "sent: " + id + " " + text + " -> " + answer.summary());
        return answer;
    }

    private Answer exchange(String id, String text) {
        long sentNanos = System.nanoTime();
        List<String> lines = new ArrayList<>();
        try {
            write("QUERY " + id + " " + text + "\r\n");
            while (true) {
                String line = readLine(in);
                if (line == null) return new Answer(id, text, sentNanos, System.nanoTime(), null, null);
                if (line.startsWith("READY")) return new Answer(id, text, sentNanos, System.nanoTime(), lines, line);
                lines.add(line);
            }
        } catch (IOException e) {
            return new Answer(id, text, sentNanos, System.nanoTime(), null, null);
        }
    }

    private void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads up to CR LF; returns null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int previous = -1;
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (previous == '\r' && next == '\n') {
                byte[] bytes = line.toByteArray();
                return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
            }
            line.write(next);
            previous = next;
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            System.err.println("closing a session failed: " + e.getMessage());
        }
    }
}
