import java.util.concurrent.TimeUnit;

/** Runs one case: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
final class Case {
    interface Play {
        int run(Fleet fleet, Fleet.Record record, boolean trouble) throws Exception;
    }

    private static final long LIMIT_S = 112;

    static void main(String[] args, int controls, int sessions, Play play) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet.Record record = new Fleet.Record(args[0]); Fleet fleet = new Fleet(record, controls, sessions)) {
            Group.daemon(() -> {
                try {
                    TimeUnit.SECONDS.sleep(LIMIT_S);
                    record.line("the case took too long");
                    System.exit(2);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }).start();
            record.line(trouble ? "with the disruption" : "without the disruption");
            try {
                result = play.run(fleet, record, trouble);
            } catch (Exception e) {
                record.line("the case can't run: " + e);
            }
            record.line("result " + result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    static int cannotRun(Fleet.Record record, String why) {
        record.line("the case can't run: " + why);
        return 2;
    }
}
