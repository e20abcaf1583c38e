import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client of the wire protocol; one request at a time. */
final class Client implements AutoCloseable {
    private final Socket socket = new Socket();
    private final InputStream in;
    private final Fleet.Record record;
    private final String label;

    /** A reply: its rows, the line COMPLETE or ERROR, and the line READY. */
    record Reply(List<String> rows, String result, String ready) {
        boolean isComplete() {
            return result.startsWith("COMPLETE");
        }

        String code() {
            return isComplete() ? "COMPLETE" : result.split(" ")[1];
        }
    }

    /** @param label name of this client in [record]; nothing is written of its statements if [record] is null */
    Client(Fleet.Record record, String label, String ip, int port, String database, String key, int timeoutMillis) throws IOException {
        this.record = record;
        this.label = label;
        socket.connect(new InetSocketAddress(ip, port), 2000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream(), 65_536);
        send("STARTUP " + database + " " + key);
        String line = line(in);
        note("STARTUP " + database + " at " + ip, line);
        if (!line.startsWith("READY")) {
            socket.close();
            throw new IOException(line);
        }
    }

    Reply query(String id, String text) throws IOException {
        send("QUERY " + id + " " + text);
        List<String> rows = new ArrayList<>();
        String result = "";
        while (true) {
            String line = line(in);
            if (line.startsWith("DATAROW ")) rows.add(line.substring(8));
            else if (line.startsWith("READY ")) {
                note(id + " " + text, rows.size() + " rows, " + result + ", " + line);
                return new Reply(rows, result, line);
            } else result = line;
        }
    }

    private void note(String sent, String answered) {
        if (record != null) record.line(label + " sent " + cut(sent) + " and was answered " + cut(answered));
    }

    private static String cut(String text) {
        return text.length() <= 100 ? text : text.substring(0, 100) + ".. (" + text.length() + " characters)";
    }

    void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int last = -1;
        while (true) {
            int b = in.read();
            if (b < 0) throw new EOFException("the connection ended");
            if (b == '\n' && last == '\r') return text.substring(0, text.length() - 1);
            text.append((char) b);
            last = b;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
