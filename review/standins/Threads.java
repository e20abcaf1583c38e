/** Daemon threads for stand-ins. */
final class Threads {
    interface Work {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                System.err.println(name + " failed: " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
