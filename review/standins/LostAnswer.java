import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/** Clients write while a primary is replaced as planned; the new primary runs their writes, and one answer in five is lost. */
final class LostAnswer extends Case {
    /** The largest share on the site's own days is x = 0.2. */
    private static final int LOSE_EVERY = 5;
    private static final int SERVICES = 3;
    private static final int ROUNDS = 2;
    private static final int WRITERS = 12;
    private static final long PAUSE_MILLIS = 150;
    /** Pause between the writes of a client while the primary is about to be replaced. */
    private static final long BUSY_PAUSE_MILLIS = 5;
    private static final Set<String> PROMISES = Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT");

    public static void main(String[] arguments) throws Exception {
        new LostAnswer().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        startDeployment(3, 2, SERVICES);
        Map<String, String> keys = new LinkedHashMap<>();
        keys.put("keyOfA", "tenant-a");
        configure(configuration(1, keys));
        awaitReady();
        Thread.sleep(1_500);
        int broken = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (Group group : groups) broken += round(group);
        }
        logRuns();
        log("writes that were committed against a promise: " + broken);
        return broken == 0;
    }

    private int round(Group group) throws Exception {
        Instance old = group.primary();
        List<Wire.Answer> writes = new CopyOnWriteArrayList<>();
        AtomicBoolean isOver = new AtomicBoolean();
        AtomicBoolean isBusy = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < WRITERS; i++) {
            String item = "item" + i;
            int edge = i % deployment.edges.size();
            clients.add(Threads.start("client", () -> {
                try (Wire reader = open(edge, "read_your_writes-" + group.name, "keyOfA");
                    Wire writer = open(edge, "primary-" + group.name, "keyOfA")) {
                    for (int step = 0; !isOver.get(); step++) {
                        if (step % 10 == 0) reader.query("READ " + item);
                        writes.add(writer.query("WRITE " + item + " data" + step));
                        Thread.sleep(isBusy.get() ? BUSY_PAUSE_MILLIS : PAUSE_MILLIS);
                    }
                }
            }));
        }
        Thread.sleep(1_500);
        isBusy.set(true);
        for (Instance instance : group.instances) instance.loseEvery(hasTrouble ? LOSE_EVERY : 0);
        old.drain();
        log(group.name + ": " + old.id + " has said that it is draining");
        for (int i = 0; group.isPrimary(old); i++) {
            if (i > 15_000) throw new IllegalStateException("no promotion");
            Thread.sleep(1);
        }
        Thread.sleep(100);
        isBusy.set(false);
        Thread.sleep(1_400);
        isOver.set(true);
        for (Thread client : clients) client.join(6_000);
        for (Instance instance : group.instances) instance.loseEvery(0);
        return judge(group, writes);
    }

    // A write is committed though its client was given a promise that nothing is kept.
    private int judge(Group group, List<Wire.Answer> writes) {
        int broken = 0;
        int promised = 0;
        for (Wire.Answer write : writes) {
            if (write.lines() == null) continue;
            boolean isPromise = write.lines().stream().anyMatch(line -> line.startsWith("ERROR ") && PROMISES.contains(line.split(" ")[1]));
            if (!isPromise) continue;
            promised++;
            for (Instance.Run run : Instance.RUNS) {
                if (!run.id().equals(write.id())) continue;
                broken++;
                log(String.format("REFUSED: %s %s was committed by %s as entry %d at %.3f; its client was told at %.3f: %s", write.id(),
                    write.text(), run.instance(), run.applied(), seconds(run.atNanos()), seconds(write.answeredNanos()), write.summary()));
            }
        }
        log(group.name + ": " + writes.size() + " writes, " + promised + " with a promise that nothing is kept, " + broken + " of them kept");
        return broken;
    }
}
