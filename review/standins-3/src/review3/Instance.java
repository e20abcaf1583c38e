package review3;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound instance of one database group: it speaks the wire protocol, announces itself, and remembers the names that were prepared on
 * each connection. The instances of a group share their log, so that replicas are never behind.
 */
final class Instance {
    private static final long HEARTBEAT_MILLIS = 1_200;

    private final Fleet fleet;
    private final String service;
    private final String id;
    private final String ip;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final Log log;
    private final boolean isPrimary;
    private final long workMillis;
    private long signatures;

    Instance(Fleet fleet, String service, String id, int index) throws IOException {
        this(fleet, service, id, index, new Log(), true, 0);
    }

    /** @param workMillis time that a read or a write takes */
    Instance(Fleet fleet, String service, String id, int index, Log log, boolean isPrimary, long workMillis) throws IOException {
        this.log = log;
        this.isPrimary = isPrimary;
        this.workMillis = workMillis;
        this.fleet = fleet;
        this.service = service;
        this.id = id;
        ip = fleet.ip("instance", index);
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("accept-" + id, this::accept);
        Threads.start("heartbeat-" + id, this::heartbeats);
    }

    private void heartbeats() throws Exception {
        for (long sequence = 1; ; sequence++) {
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + server.getLocalPort() + "\",\"zone\":\"z1\",\"version\":\"v1\"," +
                "\"capacity\":3,\"state\":\"ready\",\"warmup-left-ms\":0,\"db-role\":\"" + (isPrimary ? "primary" : "replica") + "\",\"sequence\":" + sequence + ",\"born\":" + born + "}";
            fleet.send("PUT", fleet.controlAddress(1), "/buckthornhub/instances/" + id, body);
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("connection-" + id, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65_536);
            String startup = Lines.read(in);
            String[] names = startup == null ? new String[0] : startup.split(" ");
            if (names.length < 3 || !names[1].equals(service) || names.length > 3 && !names[3].equals(id)) {
                Lines.write(out, "ERROR WRONGNODE " + id);
                return;
            }
            Lines.write(out, "READY I " + position());
            Session session = new Session();
            for (String line = Lines.read(in); line != null && line.startsWith("QUERY "); line = Lines.read(in)) {
                int space = line.indexOf(' ', 6);
                String text = line.substring(space + 1);
                if (workMillis > 0 && (text.contains("EXECUTE ") || text.contains("READ ") || text.contains("WRITE "))) Thread.sleep(workMillis);
                Lines.write(out, answer(session, text));
            }
        }
    }

    private String position() {
        return "1." + log.commits.get();
    }

    private synchronized String answer(Session session, String text) {
        String statement = text;
        if (statement.startsWith("WAITLSN ")) statement = statement.substring(statement.indexOf(' ', 8) + 1);
        String[] words = statement.split(" ", 3);
        return switch (words[0]) {
            case "BEGIN" -> isPrimary || words.length > 1 ? done(session, true, "") : readOnly(session);
            case "ROLLBACK" -> done(session, false, "");
            case "COMMIT" -> {
                boolean hasWritten = session.hasWritten;
                if (hasWritten) log.commits.incrementAndGet();
                yield signed(session, false, "");
            }
            case "READ" -> signed(session, session.isOpen, "DATAROW " + log.items.getOrDefault(words[1], "none") + "\r\n");
            case "WRITE" -> write(session, words[1]);
            case "SET" -> done(session, session.isOpen, "");
            case "PARSE" -> {
                // The text is not kept, only what a run of it needs.
                session.prepared.put(words[1], words[2].startsWith("WRITE"));
                yield done(session, session.isOpen, "");
            }
            case "EXECUTE" -> {
                Boolean writes = session.prepared.get(words[1]);
                if (writes == null) yield "ERROR NOSTMT " + words[1] + "\r\nREADY " + (session.isOpen ? "E" : "I") + " " + position();
                String item = words[2].split(" ", 2)[0];
                yield writes ? write(session, item) : signed(session, session.isOpen, "DATAROW " + log.items.getOrDefault(item, "none") + "\r\n");
            }
            case "DISCARD" -> {
                session.prepared.clear();
                yield done(session, session.isOpen, "");
            }
            case "STATUS" -> "DATAROW primary 1 " + position() + " 1 0 0 1\r\nCOMPLETE -\r\nREADY I " + position();
            default -> "ERROR MALFORMED unknown statement\r\nREADY " + (session.isOpen ? "E" : "I") + " " + position();
        };
    }

    private String readOnly(Session session) {
        return "ERROR READONLY " + id + "\r\nREADY " + (session.isOpen ? "E" : "I") + " " + position();
    }

    private String write(Session session, String item) {
        if (!isPrimary) return readOnly(session);
        log.items.put(item, "written");
        if (session.isOpen) session.hasWritten = true;
        else log.commits.incrementAndGet();
        return signed(session, session.isOpen, "");
    }

    private String done(Session session, boolean isOpen, String rows) {
        if (isOpen != session.isOpen) session.hasWritten = false;
        session.isOpen = isOpen;
        return rows + "COMPLETE -\r\nREADY " + (isOpen ? "T" : "I") + " " + position();
    }

    private String signed(Session session, boolean isOpen, String rows) {
        if (isOpen != session.isOpen) session.hasWritten = false;
        session.isOpen = isOpen;
        return rows + "COMPLETE " + id + "." + ++signatures + "\r\nREADY " + (isOpen ? "T" : "I") + " " + position();
    }

    /** What the instances of a group share. */
    static final class Log {
        final Map<String, String> items = new ConcurrentHashMap<>();
        final AtomicLong commits = new AtomicLong(1);
    }

    private static final class Session {
        final Map<String, Boolean> prepared = new HashMap<>();
        boolean isOpen;
        boolean hasWritten;
    }

    /** Lines of the wire protocol; each byte is one character. */
    static final class Lines {
        static String read(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                int last = line.length() - 1;
                if (next == '\n' && last >= 0 && line.charAt(last) == '\r') return line.substring(0, last);
                line.append((char) next);
            }
            return null;
        }

        static void write(OutputStream out, String text) throws IOException {
            out.write((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
