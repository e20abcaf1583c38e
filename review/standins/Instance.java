import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of one database instance: the wire protocol over TCP, and its heartbeats. */
final class Instance {
    /** A statement that this instance ran. @param applied entries of the log that it had applied; for a commit with its own */
    record Run(String instance, String tenant, long connection, String id, String text, int applied, long atNanos) {}

    static final List<Run> RUNS = new CopyOnWriteArrayList<>();
    private static final AtomicLong CONNECTIONS = new AtomicLong();
    private static final long HANDSHAKE_MILLIS = 12;
    private static final long WORK_MILLIS = 3;
    private static final long HEARTBEAT_MILLIS = 1_200;

    final String id;
    final String address;
    private final Group group;
    private final Http http;
    private final List<String> controls;
    private final long born = System.currentTimeMillis();
    private volatile long lagMillis = 60;
    private volatile boolean isDraining;
    private volatile boolean isEnded;
    private volatile int loseEvery;
    private final AtomicLong ranWithId = new AtomicLong();
    private int settled;
    private long sequence;
    private String next;

    Instance(String id, String address, Group group, List<String> controls, Http http) throws IOException {
        this.id = id;
        this.address = address;
        this.group = group;
        this.controls = controls;
        this.http = http;
        this.settled = group.size();
        group.instances.add(this);
        String ip = address.substring(0, address.indexOf(':'));
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        ServerSocket server = new ServerSocket(port, 64, InetAddress.getByName(ip));
        Threads.start("accept-" + id, () -> {
            while (true) {
                Socket socket = server.accept();
                Threads.start("connection-" + id, () -> serve(socket));
            }
        });
    }

    void beginHeartbeats() {
        Threads.start("heartbeat-" + id, () -> {
            while (!isEnded) {
                heartbeat();
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Sends one heartbeat; tries the next control address until one acknowledges it. */
    synchronized void heartbeat() {
        String role = group.isPrimary(this) ? "primary" : "replica";
        String state = isDraining ? "draining" : "ready";
        String body = "{\"service\":\"" + group.name + "\",\"address\":\"" + address + "\",\"zone\":\"ikeja\",\"version\":\"v1\","
            + "\"capacity\":3,\"state\":\"" + state + "\",\"warmup-left-ms\":0,\"db-role\":\"" + role + "\",\"sequence\":" + ++sequence
            + ",\"born\":" + born + "}";
        for (int attempt = 0; attempt < 6; attempt++) {
            String control = next != null ? next : controls.get((int) ((sequence + attempt) % controls.size()));
            Http.Reply reply = http.send("PUT", "http://" + control + "/buckthornhub/instances/" + id, body);
            if (reply.status() / 100 == 2) {
                int at = reply.body().indexOf("\"heartbeat-addr\":\"");
                next = at < 0 ? null : reply.body().substring(at + 18, reply.body().indexOf('"', at + 18));
                return;
            }
            next = null;
        }
    }

    void drain() {
        isDraining = true;
        heartbeat();
    }

    void end() {
        isEnded = true;
    }

    /** Loses one in [every] answers to the statements of clients that it ran, by ending the connection instead; 0 for none. */
    void loseEvery(int every) {
        ranWithId.set(0);
        loseEvery = every;
    }

    private boolean isLost(String line, String answer) {
        boolean isRun = !line.startsWith("QUERY - ") && answer.contains("COMPLETE s.");
        return isRun && loseEvery > 0 && ranWithId.incrementAndGet() % loseEvery == 0;
    }

    void lagMillis(long millis) {
        group.applied(this);
        lagMillis = millis;
    }

    long lagMillis() {
        return lagMillis;
    }

    int settled() {
        return settled;
    }

    void settle(int applied) {
        settled = applied;
    }

    private void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        long connection = CONNECTIONS.incrementAndGet();
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            String startup = Wire.readLine(in);
            if (startup == null) return;
            String[] fields = startup.split(" ", 4);
            Thread.sleep(HANDSHAKE_MILLIS);
            boolean isKnown = fields.length >= 3 && fields[0].equals("STARTUP") && fields[1].equals(group.name)
                && (fields.length == 3 || fields[3].equals(id));
            if (!isKnown) {
                send(out, "ERROR WRONGNODE " + id + "\r\n");
                return;
            }
            send(out, "READY I " + position() + "\r\n");
            Session session = new Session(connection, fields[2]);
            while (true) {
                String line = Wire.readLine(in);
                if (line == null || line.equals("TERMINATE")) return;
                String answer = session.answer(line);
                if (isLost(line, answer)) {
                    Case.log(id + " loses its answer to " + line + ", which was " + answer);
                    return;
                }
                send(out, answer);
            }
        } catch (IOException e) {
            // The peer has closed the connection, which rolls back.
        }
    }

    private String position() {
        return group.position(group.applied(this));
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** State of one connection. */
    private final class Session {
        private final long connection;
        private final String tenant;
        private final Map<String, String> prepared = new HashMap<>();
        private Map<String, String> writes;
        private boolean isPlain;
        private boolean isFailed;
        private int base;

        Session(long connection, String tenant) {
            this.connection = connection;
            this.tenant = tenant;
        }

        String answer(String line) throws InterruptedException {
            String[] fields = line.split(" ", 3);
            if (fields.length < 3 || !fields[0].equals("QUERY")) return "ERROR MALFORMED " + id + "\r\n" + ready();
            String statement = fields[2];
            if (statement.startsWith("WAITLSN ")) {
                String[] rest = statement.split(" ", 3);
                if (group.lacks(group.applied(Instance.this), rest[1])) return "ERROR LAGGING " + id + "\r\n" + ready();
                statement = rest[2];
            }
            return run(fields[1], statement);
        }

        private String run(String query, String statement) throws InterruptedException {
            String word = statement.contains(" ") ? statement.substring(0, statement.indexOf(' ')) : statement;
            if (isFailed && !word.equals("ROLLBACK")) return "ERROR MALFORMED " + id + "\r\n" + ready();
            switch (word) {
                case "STATUS":
                    boolean leads = group.isPrimary(Instance.this);
                    String received = group.position(group.size());
                    return "DATAROW " + (leads ? "primary" : "replica") + " " + group.term() + " " + received + " " + group.term() + " "
                        + lagMillis + " 0 1\r\n" + complete("-");
                case "SET":
                    return complete("-");
                case "PARSE":
                    String[] parse = statement.split(" ", 4);
                    prepared.put(parse[1], parse[2]);
                    return complete("-");
                case "CLOSE":
                    prepared.remove(statement.substring(6));
                    return complete("-");
                case "DISCARD":
                    prepared.clear();
                    return complete("-");
                case "BEGIN":
                    boolean isReadOnly = statement.equals("BEGIN READ");
                    if (!isReadOnly && !group.isPrimary(Instance.this)) return "ERROR READONLY " + id + "\r\n" + ready();
                    writes = new LinkedHashMap<>();
                    isPlain = !isReadOnly;
                    base = group.applied(Instance.this);
                    return complete("-");
                case "ROLLBACK":
                    writes = null;
                    isFailed = false;
                    return complete("-");
                case "COMMIT":
                    return commit(query, statement);
                case "READ":
                case "WRITE":
                    return work(query, statement, word, statement.substring(word.length() + 1));
                case "EXECUTE":
                    String[] execute = statement.split(" ", 3);
                    String access = prepared.get(execute[1]);
                    if (access == null) return fail("NOSTMT");
                    return work(query, statement, access, execute[2]);
                default:
                    return fail("MALFORMED");
            }
        }

        private String work(String query, String statement, String access, String arguments) throws InterruptedException {
            boolean isWrite = access.equals("WRITE");
            boolean needsLead = isWrite || writes != null && isPlain;
            if (needsLead && !group.isPrimary(Instance.this)) return fail("READONLY");
            Thread.sleep(WORK_MILLIS);
            String item = arguments.split(" ", 2)[0];
            int applied = writes == null ? group.applied(Instance.this) : Math.max(base, group.applied(Instance.this));
            if (!isWrite) {
                record(query, statement, applied);
                return "DATAROW " + group.read(applied, item) + "\r\n" + complete(signature(query));
            }
            String data = arguments.contains(" ") ? arguments.substring(item.length() + 1) : "";
            if (writes != null) {
                writes.put(item, data);
                record(query, statement, applied);
                return complete(signature(query));
            }
            int number = group.commit(Instance.this, Map.of(item, data));
            if (number < 0) return fail("READONLY");
            record(query, statement, number);
            return complete(signature(query));
        }

        // A commit without writes succeeds also where the instance has lost the lead.
        private String commit(String query, String statement) {
            if (writes == null) return fail("MALFORMED");
            int number = writes.isEmpty() ? group.applied(Instance.this) : group.commit(Instance.this, writes);
            if (number < 0) return fail("READONLY");
            writes = null;
            record(query, statement, number);
            return complete(signature(query));
        }

        private void record(String query, String statement, int applied) {
            RUNS.add(new Run(id, tenant, connection, query, statement, applied, System.nanoTime()));
        }

        private String signature(String query) {
            return "s." + id + "." + query;
        }

        private String fail(String code) {
            if (writes != null) isFailed = true;
            return "ERROR " + code + " " + id + "\r\n" + ready();
        }

        private String complete(String signature) {
            return "COMPLETE " + signature + "\r\n" + ready();
        }

        private String ready() {
            return "READY " + (isFailed ? "E" : writes != null ? "T" : "I") + " " + position() + "\r\n";
        }
    }
}
