package review3;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A client of the wire protocol that sends one request at a time and waits for its answer. */
final class Caller implements AutoCloseable {
    /** Longer than any time-out of the configuration; in ms. */
    private static final int ANSWER_MILLIS = 10_000;

    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;
    private long requests;

    Caller(String ip, int port, String database, String key) throws IOException {
        socket = Fleet.connect(ip, port);
        socket.setSoTimeout(ANSWER_MILLIS);
        in = new BufferedInputStream(socket.getInputStream(), 1_024);
        out = new BufferedOutputStream(socket.getOutputStream(), 1_024);
        Instance.Lines.write(out, "STARTUP " + database + " " + key);
        String answer = Instance.Lines.read(in);
        if (answer == null || !answer.startsWith("READY I")) {
            socket.close();
            throw new IOException("no session: " + answer);
        }
    }

    /** Returns the lines of the answer, READY last; throws if the connection ends without it. */
    List<String> run(String text) throws IOException {
        Instance.Lines.write(out, "QUERY q" + Integer.toHexString(System.identityHashCode(this)) + "-" + ++requests + " " + text);
        List<String> lines = new ArrayList<>();
        while (lines.isEmpty() || !lines.get(lines.size() - 1).startsWith("READY ")) {
            String line = Instance.Lines.read(in);
            if (line == null) throw new IOException("the connection ended without an answer");
            lines.add(line);
        }
        return lines;
    }

    /** Returns whether the answer is a success. */
    static boolean isDone(List<String> answer) {
        return answer.size() >= 2 && answer.get(answer.size() - 2).startsWith("COMPLETE");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
