import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** A transaction without writes commits on a primary that has just been replaced, while the replicas apply late. */
final class StaleRead extends Case {
    private static final long STALENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    /** Replicas are 60 ms behind, and 50 times as much under the disruption. */
    private static final long LAG_MILLIS = 60;
    private static final long LATE_MILLIS = 50 * LAG_MILLIS;
    /** Time between the acknowledged write and the other client's COMMIT. */
    private static final long COMMIT_MILLIS = 10;
    private static final int ROUNDS = 3;

    /** A commit whose success has reached its client. @param number its entry in the log */
    private record Commit(int number, long ackedNanos) {}

    public static void main(String[] arguments) throws Exception {
        new StaleRead().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        startDeployment(3, 2, ROUNDS);
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("keyOfA", "tenant-a");
        configure(configuration(1, keys));
        awaitReady();
        Thread.sleep(1_500);
        int stale = 0;
        for (Group group : groups) stale += round(group);
        logRuns();
        log("stale reads: " + stale);
        return stale == 0;
    }

    private int round(Group group) throws Exception {
        Instance old = group.instances.get(0);
        // Those that are replicas at this time; the old primary follows its successor as closely as usual.
        for (Instance instance : group.instances) instance.lagMillis(hasTrouble && instance != old ? LATE_MILLIS : LAG_MILLIS);
        warmUp("primary-" + group.name, "keyOfA");
        List<Commit> commits = new CopyOnWriteArrayList<>();
        List<Wire.Answer> reads = new CopyOnWriteArrayList<>();
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicBoolean isBusy = new AtomicBoolean();
        try (Wire writer = open(1, "primary-" + group.name, "keyOfA"); Wire reader = open(0, "primary-" + group.name, "keyOfA")) {
            write(writer, "before", commits);
            long writtenNanos = System.nanoTime();
            List<Thread> readers = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                readers.add(Threads.start("reader", () -> {
                    try (Wire session = open(0, "bounded_staleness-" + group.name, "keyOfA")) {
                        while (!isOver.get()) {
                            reads.add(session.query("READ item"));
                            Thread.sleep(isBusy.get() ? 4 : 40);
                        }
                    }
                }));
            }
            // The replicas apply the first write, so that they are behind only by what comes after the promotion.
            Thread.sleep(LATE_MILLIS + 500);
            log(group.name + ": " + reader.query("BEGIN").summary());
            log(group.name + ": read in the transaction: " + reader.query("READ item").summary());
            old.drain();
            log(group.name + ": " + old.id + " has said that it is draining");
            while (group.isPrimary(old)) {
                if (System.nanoTime() - writtenNanos > TimeUnit.SECONDS.toNanos(20)) throw new IllegalStateException("no promotion");
                Thread.sleep(1);
            }
            write(writer, "after", commits);
            Thread.sleep(COMMIT_MILLIS);
            Wire.Answer commit = reader.query(System.getenv().getOrDefault("END", "COMMIT"));
            log(group.name + ": end of the transaction without writes: " + commit.summary());
            Thread.sleep(1_300);
            isBusy.set(true);
            Thread.sleep(400);
            isBusy.set(false);
            Thread.sleep(500);
            isOver.set(true);
            for (Thread thread : readers) thread.join(6_000);
        }
        for (Instance instance : group.instances) instance.lagMillis(LAG_MILLIS);
        return judge(group, commits, reads);
    }

    private static void write(Wire writer, String data, List<Commit> commits) throws InterruptedException {
        for (int attempt = 0; attempt < 400; attempt++) {
            Wire.Answer answer = writer.query("WRITE item " + data);
            if (!answer.isSuccess()) {
                Thread.sleep(2);
                continue;
            }
            int number = Instance.RUNS.stream().filter(run -> run.id().equals(answer.id())).findFirst().orElseThrow().applied();
            commits.add(new Commit(number, answer.answeredNanos()));
            log("write of \"" + data + "\", entry " + number + ": " + answer.summary());
            return;
        }
        throw new IllegalStateException("the write was never acknowledged");
    }

    // A read on a bounded route must run on a log with every commit acknowledged more than 1,500 ms before its first byte.
    private int judge(Group group, List<Commit> commits, List<Wire.Answer> reads) {
        int stale = 0;
        for (Wire.Answer read : reads) {
            if (!read.isSuccess()) continue;
            Instance.Run run = Instance.RUNS.stream().filter(it -> it.id().equals(read.id())).reduce((a, b) -> b).orElseThrow();
            for (Commit commit : commits) {
                boolean isOwed = commit.ackedNanos() + STALENESS_NANOS < read.sentNanos();
                if (!isOwed || run.applied() >= commit.number()) continue;
                stale++;
                double ageMillis = (read.sentNanos() - commit.ackedNanos()) / 1e6;
                log(String.format("STALE: %s read %s at %.3f on %s with entries up to %d; entry %d was acknowledged %.1f ms before: %s",
                    group.name, read.id(), seconds(read.sentNanos()), run.instance(), run.applied(), commit.number(), ageMillis,
                    read.summary()));
            }
        }
        long answered = reads.stream().filter(Wire.Answer::isSuccess).count();
        log(group.name + ": " + answered + " of " + reads.size() + " reads were answered, " + stale + " of them stale");
        return stale;
    }
}
