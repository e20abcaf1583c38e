import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A database service: one primary and its replicas, as the platform's pages describe them. */
final class Group implements AutoCloseable {
    record Entry(long term, long number, String item, String data, String id) {}

    final Fleet fleet;
    final Fleet.Record record;
    final String service;
    final int slots;
    final int maxConnections;
    final int syncReplicas;
    final List<Instance> instances = new ArrayList<>();
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Group::daemon);
    long term = 1;
    long readMillis = 30;
    long writeMillis = 6;
    /** Rows that a read answers with, and their size. */
    volatile int rows = 1;
    volatile int rowChars = 12;
    /** Whether its instances send heartbeats to the control machines. */
    volatile boolean isHeard = true;
    /** Statements that its instances were sent. */
    final AtomicInteger statements = new AtomicInteger();
    private volatile boolean closed;

    Group(Fleet fleet, String service, int size, int slots, int maxConnections, int syncReplicas, int firstHost) throws IOException {
        this.fleet = fleet;
        this.record = fleet.record;
        this.service = service;
        this.slots = slots;
        this.maxConnections = maxConnections;
        this.syncReplicas = syncReplicas;
        for (int i = 0; i < size; i++) instances.add(new Instance("i-" + service + i, fleet.net + (firstHost + i), i == 0));
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    void start() {
        for (Instance instance : instances) instance.start();
    }

    synchronized Instance primary() {
        for (Instance instance : instances) if (instance.isPrimary && instance.isRunning) return instance;
        return null;
    }

    Instance byId(String id) {
        for (Instance instance : instances) if (instance.id.equals(id)) return instance;
        return null;
    }

    /** The named instance leads the next term with what it has received; what others have beyond that is rolled back. */
    synchronized void promote(Instance next) {
        if (next.isPrimary) return;
        term++;
        for (Instance instance : instances) {
            boolean wasPrimary = instance.isPrimary;
            instance.isPrimary = instance == next;
            if (instance != next) instance.follow(next);
            if (wasPrimary) record.line(instance.id + " loses the lead");
        }
        next.applyAll();
        next.term = term;
        record.line("promoted " + next.id + " to term " + term + " with " + next.log.size() + " commits");
        for (Instance instance : instances) timer.execute(instance::beat);
    }

    @Override
    public void close() {
        closed = true;
        timer.shutdownNow();
        for (Instance instance : instances) instance.crash();
    }

    final class Instance {
        final String id;
        final String ip;
        final int port;
        final long born = System.currentTimeMillis();
        volatile boolean isPrimary;
        volatile boolean isRunning = true;
        volatile boolean isDraining;
        /** Whether a replica receives commits; what it misses arrives once it does again. */
        volatile boolean isDeaf;
        long term = 1;
        final List<Entry> log = new ArrayList<>();
        int applied;
        final Semaphore free = new Semaphore(slots);
        private final ServerSocket server;
        private final Set<Socket> connections = Collections.synchronizedSet(new HashSet<>());
        private long sequence;
        private String beatAddress;
        volatile long applyMillis = 8;
        volatile String zone;

        Instance(String id, String ip, boolean isPrimary) throws IOException {
            this.id = id;
            this.ip = ip;
            this.isPrimary = isPrimary;
            server = new ServerSocket(0, 64, InetAddress.getByName(ip));
            port = server.getLocalPort();
            zone = Fleet.zoneOf(ip);
        }

        void start() {
            daemon(this::accept).start();
            timer.scheduleWithFixedDelay(this::beat, 0, 1200, TimeUnit.MILLISECONDS);
        }

        /** Ends at once, like a process that was killed. */
        void crash() {
            isRunning = false;
            try {
                server.close();
                synchronized (connections) {
                    for (Socket socket : connections) socket.close();
                }
            } catch (IOException e) {
                record.line(id + " could not be closed: " + e);
            }
        }

        void beat() {
            if (isHeard) send();
        }

        /** Sends one heartbeat, to another control machine if one doesn't acknowledge it. */
        synchronized void send() {
            if (!isRunning || closed) return;
            sequence++;
            String body = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"capacity\":" + slots + ",\"state\":\"" + (isDraining ? "draining" : "ready")
                + "\",\"warmup-left-ms\":0,\"db-role\":\"" + (isPrimary ? "primary" : "replica") + "\",\"sequence\":" + sequence + ",\"born\":" + born + "}";
            List<String> addresses = new ArrayList<>();
            if (beatAddress != null) addresses.add(beatAddress);
            for (String c : fleet.controlIps) addresses.add(c + ":" + fleet.controlPort);
            for (String address : addresses) {
                byte[][] answer = new byte[1][];
                int status = Fleet.http("PUT", "http://" + address + "/buckthornhub/instances/" + id, body.getBytes(StandardCharsets.UTF_8), answer);
                if (status / 100 != 2) continue;
                String text = new String(answer[0], StandardCharsets.UTF_8);
                int at = text.indexOf("heartbeat-addr\":\"");
                if (at >= 0) beatAddress = text.substring(at + 17, text.indexOf('"', at + 17));
                return;
            }
            beatAddress = null;
        }

        private void accept() {
            while (isRunning) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    daemon(() -> serve(socket)).start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            Session session = new Session(this, socket);
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                if (!session.open(Client.line(in))) return;
                while (isRunning) {
                    String line = Client.line(in);
                    if (line.equals("TERMINATE") || !session.handle(line)) return;
                }
            } catch (IOException e) {
                // The connection ended; what was not committed is rolled back.
            } catch (java.util.concurrent.RejectedExecutionException e) {
                // The group was closed.
            } finally {
                connections.remove(socket);
            }
        }

        /** Appends the writes of one commit; returns its entry's number, or -1 if this instance doesn't lead. */
        long commit(List<Entry> writes) throws InterruptedException {
            Entry last = null;
            List<Instance> replicas = new ArrayList<>();
            synchronized (Group.this) {
                if (!isPrimary || !isRunning) return -1;
                long number = log.size() + 1;
                for (Entry write : writes) {
                    last = new Entry(term, number++, write.item, write.data, write.id);
                    log.add(last);
                }
                applied = log.size();
                for (Instance other : instances) if (other != this && other.isRunning) replicas.add(other);
            }
            for (Instance replica : replicas) timer.schedule(() -> replica.receive(this), 1, TimeUnit.MILLISECONDS);
            long number = last.number;
            long end = System.currentTimeMillis() + 5000;
            while (syncReplicas > 0 && isRunning && System.currentTimeMillis() < end) {
                int received = 0;
                synchronized (Group.this) {
                    if (!isPrimary) return -2;
                    for (Instance replica : replicas) if (replica.log.size() >= number) received++;
                }
                if (received >= syncReplicas) break;
                Thread.sleep(1);
            }
            return number;
        }

        /** Receives what [from] has in its log, and applies it some time later. */
        void receive(Instance from) {
            synchronized (Group.this) {
                if (isDeaf || !isRunning || isPrimary || !from.isPrimary || !from.isRunning) return;
                term = from.term;
                for (int i = log.size(); i < from.log.size(); i++) log.add(from.log.get(i));
            }
            timer.schedule(this::applyAll, applyMillis, TimeUnit.MILLISECONDS);
        }

        void hear(boolean hears) {
            isDeaf = !hears;
            record.line(id + (hears ? " receives commits again" : " receives no commits"));
            Instance leader = primary();
            if (hears && leader != null) receive(leader);
        }

        void applyAll() {
            synchronized (Group.this) {
                applied = log.size();
            }
        }

        void follow(Instance next) {
            int common = Math.min(log.size(), next.log.size());
            while (log.size() > common) {
                Entry lost = log.remove(log.size() - 1);
                record.line(id + " rolls back commit " + lost.term + "." + lost.number + " " + lost.item + " " + lost.data);
            }
            applied = Math.min(applied, log.size());
            term = Group.this.term;
            if (next.isRunning) timer.schedule(() -> receive(next), 5, TimeUnit.MILLISECONDS);
        }

        Group group() {
            return Group.this;
        }

        String position() {
            synchronized (Group.this) {
                return term + "." + applied;
            }
        }

        String read(String item) {
            synchronized (Group.this) {
                for (int i = applied - 1; i >= 0; i--) if (log.get(i).item.equals(item)) return log.get(i).data;
            }
            return "none";
        }
    }

    /** One connection of an instance. */
    private static final class Session {
        private final Instance instance;
        private final Group group;
        private final Socket socket;
        private String tenant;
        private char state = 'I';
        private boolean isReadOnly;
        private long begunTerm;
        private final List<Entry> writes = new ArrayList<>();
        private final Map<String, String> prepared = new HashMap<>();
        private static long signatures;

        Session(Instance instance, Socket socket) {
            this.instance = instance;
            this.socket = socket;
            group = instance.group();
        }

        boolean open(String line) throws IOException {
            String[] fields = line.split(" ");
            boolean isKnown = fields.length >= 3 && fields[0].equals("STARTUP") && fields[1].equals(group.service)
                && (fields.length < 4 || fields[3].equals(instance.id));
            if (!isKnown) return refuse("WRONGNODE");
            if (instance.connections.size() > group.maxConnections) return refuse("CONNLIMIT");
            tenant = fields[2];
            if (!group.isHeard) group.record.line(instance.id + " accepts " + line);
            pause(12);
            write("READY I " + instance.position() + "\r\n");
            return true;
        }

        private boolean refuse(String code) throws IOException {
            write("ERROR " + code + " " + instance.id + "\r\n");
            return false;
        }

        boolean handle(String line) throws IOException {
            group.statements.incrementAndGet();
            String[] head = line.split(" ", 3);
            String id = head[1];
            String text = head[2];
            String floor = null;
            if (text.startsWith("WAITLSN ")) {
                String[] parts = text.split(" ", 3);
                floor = parts[1];
                text = parts[2];
            }
            try {
                run(id, floor, text);
            } catch (InterruptedException e) {
                return false;
            }
            return true;
        }

        private void run(String id, String floor, String text) throws IOException, InterruptedException {
            if (!id.equals("-") && !id.startsWith("r") && !id.startsWith("w0x") && !id.startsWith("w1x") && !id.startsWith("w2x") && !id.startsWith("w3x")) group.record.line(instance.id + " gets " + id + " for " + tenant + (floor == null ? "" : " at " + floor) + ": " + cut(text));
            String word = text.split(" ")[0];
            if (floor != null && lacks(floor)) {
                error("LAGGING");
                return;
            }
            if (state == 'E' && !word.equals("ROLLBACK") && !word.equals("COMMIT")) {
                error("MALFORMED");
                return;
            }
            switch (word) {
                case "STATUS" -> status();
                case "BEGIN" -> begin(text.equals("BEGIN READ"));
                case "ROLLBACK" -> {
                    end();
                    complete("-");
                }
                case "COMMIT" -> commit(id);
                case "SET", "DISCARD", "CLOSE" -> complete("-");
                case "PARSE" -> {
                    String[] parts = text.split(" ", 4);
                    prepared.put(parts[1], parts[2]);
                    complete("-");
                }
                case "STEPDOWN" -> status();
                case "READ" -> read(text.substring(5));
                case "WRITE" -> {
                    String[] parts = text.split(" ", 3);
                    write(id, parts[1], parts[2]);
                }
                case "EXECUTE" -> {
                    String[] parts = text.split(" ", 4);
                    String kind = prepared.get(parts[1]);
                    if (kind == null) error("NOSTMT");
                    else if (kind.equals("READ")) read(parts[2]);
                    else write(id, parts[2], parts.length > 3 ? parts[3] : "-");
                }
                default -> error("MALFORMED");
            }
        }

        private boolean lacks(String floor) {
            long floorTerm = Long.parseLong(floor.substring(0, floor.indexOf('.')));
            long number = Long.parseLong(floor.substring(floor.indexOf('.') + 1));
            synchronized (group) {
                return floorTerm > instance.term || number > instance.applied;
            }
        }

        private void status() throws IOException {
            if (!instance.free.tryAcquire()) {
                group.record.line(instance.id + " answers BUSY to STATUS");
                error("BUSY");
                return;
            }
            try {
                String row;
                synchronized (group) {
                    row = (instance.isPrimary ? "primary " : "replica ") + instance.term + " " + instance.term + "." + instance.log.size()
                        + " " + instance.term + " 0 " + (group.slots - instance.free.availablePermits()) + " " + instance.connections.size();
                }
                group.record.line(instance.id + " answers to STATUS: " + row);
                write("DATAROW " + row + "\r\nCOMPLETE -\r\nREADY " + state + " " + instance.position() + "\r\n");
            } finally {
                instance.free.release();
            }
        }

        private void begin(boolean readOnly) throws IOException {
            if (!readOnly && !instance.isPrimary) {
                error("READONLY");
                return;
            }
            isReadOnly = readOnly;
            begunTerm = instance.term;
            state = 'T';
            complete("-");
        }

        private void end() {
            state = 'I';
            writes.clear();
        }

        private boolean hasLostLead() {
            return state == 'T' && !isReadOnly && (!instance.isPrimary || instance.term != begunTerm);
        }

        private void read(String item) throws IOException, InterruptedException {
            if (hasLostLead()) {
                error("READONLY");
                return;
            }
            if (!instance.free.tryAcquire()) {
                error("BUSY");
                return;
            }
            try {
                Thread.sleep(group.readMillis);
                StringBuilder text = new StringBuilder();
                int rows = group.rows;
                if (rows == 1) text.append("DATAROW ").append(instance.read(item)).append("\r\n");
                String row = "DATAROW " + "x".repeat(group.rowChars) + "\r\n";
                for (int i = 1; i < rows; i++) write(row);
                text.append("COMPLETE ").append(signature()).append("\r\nREADY ").append(state).append(' ').append(instance.position()).append("\r\n");
                write(text.toString());
            } finally {
                instance.free.release();
            }
        }

        private void write(String id, String item, String data) throws IOException, InterruptedException {
            if (hasLostLead() || !instance.isPrimary || state == 'T' && isReadOnly) {
                error("READONLY");
                return;
            }
            if (!instance.free.tryAcquire()) {
                error("BUSY");
                return;
            }
            try {
                Thread.sleep(group.writeMillis);
                writes.add(new Entry(0, 0, item, data, id));
                if (state == 'T') complete(signature());
                else commitNow();
            } finally {
                instance.free.release();
            }
        }

        private void commit(String id) throws IOException, InterruptedException {
            if (state == 'E') {
                end();
                error("ABORTED");
                return;
            }
            if (writes.isEmpty()) {
                end();
                complete(signature());
                return;
            }
            if (hasLostLead()) {
                end();
                error("READONLY");
                return;
            }
            commitNow();
        }

        private void commitNow() throws IOException, InterruptedException {
            long number = instance.commit(new ArrayList<>(writes));
            end();
            if (number == -1) error("READONLY");
            else if (number == -2) error("INDOUBT");
            else complete(signature());
        }

        private static String cut(String text) {
            return text.length() <= 60 ? text : text.substring(0, 60) + "..";
        }

        private static synchronized String signature() {
            return "s" + Long.toHexString(++signatures);
        }

        private void complete(String signature) throws IOException {
            write("COMPLETE " + signature + "\r\nREADY " + state + " " + instance.position() + "\r\n");
        }

        private void error(String code) throws IOException {
            if (state == 'T') state = 'E';
            write("ERROR " + code + " " + instance.id + "\r\nREADY " + state + " " + instance.position() + "\r\n");
        }

        private void write(String text) throws IOException {
            if (!instance.isRunning) throw new IOException("ended");
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        private static void pause(long millis) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
