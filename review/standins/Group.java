import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Shared state of one service: the log that its primary writes, and what each instance has applied of it. */
final class Group {
    /** One entry of the log; the first entry of a term is empty. */
    record Entry(long term, String item, String data, long atNanos) {}

    final String name;
    final List<Instance> instances = new ArrayList<>();
    private final List<Entry> log = new ArrayList<>();
    private Instance primary;
    private long term = 3;
    private long promotedNanos;

    Group(String name) {
        this.name = name;
        log.add(new Entry(term, null, null, System.nanoTime()));
    }

    synchronized void lead(Instance instance) {
        primary = instance;
    }

    synchronized boolean isPrimary(Instance instance) {
        return primary == instance;
    }

    synchronized Instance primary() {
        return primary;
    }

    /** Makes [instance] lead the next term with all that it received; the old primary follows from this moment. */
    synchronized void promote(Instance instance) {
        if (primary == instance) return;
        primary.settle(log.size());
        primary = instance;
        term++;
        log.add(new Entry(term, null, null, System.nanoTime()));
        promotedNanos = System.nanoTime();
    }

    synchronized long promotedNanos() {
        return promotedNanos;
    }

    synchronized long term() {
        return term;
    }

    synchronized int size() {
        return log.size();
    }

    /** Appends the writes of one commit as one entry; returns its number, or -1 if [instance] doesn't lead. */
    synchronized int commit(Instance instance, Map<String, String> writes) {
        if (primary != instance) return -1;
        for (Map.Entry<String, String> write : writes.entrySet()) {
            log.add(new Entry(term, write.getKey(), write.getValue(), System.nanoTime()));
        }
        return log.size();
    }

    /** Number of entries that [instance] has applied. */
    synchronized int applied(Instance instance) {
        if (primary == instance) return log.size();
        long nowNanos = System.nanoTime();
        int applied = instance.settled();
        while (applied < log.size() && log.get(applied).atNanos() + instance.lagMillis() * 1_000_000L <= nowNanos) applied++;
        instance.settle(applied);
        return applied;
    }

    synchronized String position(int applied) {
        return log.get(applied - 1).term() + "." + applied;
    }

    synchronized boolean lacks(int applied, String wanted) {
        long wantedTerm = Long.parseLong(wanted.substring(0, wanted.indexOf('.')));
        long wantedNumber = Long.parseLong(wanted.substring(wanted.indexOf('.') + 1));
        long ownTerm = log.get(applied - 1).term();
        return ownTerm < wantedTerm || ownTerm == wantedTerm && applied < wantedNumber;
    }

    synchronized String read(int applied, String item) {
        Map<String, String> values = new HashMap<>();
        for (Entry entry : log.subList(0, applied)) {
            if (entry.item() != null) values.put(entry.item(), entry.data());
        }
        return values.getOrDefault(item, "none");
    }
}
