package review3;

/** Daemon threads whose failures end only themselves. */
final class Threads {
    interface Work {
        void run() throws Exception;
    }

    static Thread start(String name, Work work) {
        Thread thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (Exception e) {
                // A peer that is gone ends its connection; what that means is decided by whoever checks the case.
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
