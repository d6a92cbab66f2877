package review;

import java.nio.file.Path;

/** Runs one case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
final class Case {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    private Case() {}

    /** What a case does; returns how often the rule was broken beyond what it allows. */
    interface Trial {
        boolean breaksRule(Record record, boolean trouble) throws Exception;
    }

    /** Runs a trial and writes its record; {@code TROUBLE=0} leaves the disruption out. */
    static void run(Path recordFile, Trial trial) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record();
        record.add("trouble: " + trouble);
        int result;
        try {
            boolean broken = trial.breaksRule(record, trouble);
            record.add(broken ? "the rule was broken" : "the rule held");
            result = broken ? BROKEN : HELD;
        } catch (Exception failure) {
            record.add("the case could not run: " + failure);
            result = NOT_RUN;
        }
        record.writeTo(recordFile);
        System.out.println("result " + result);
        System.exit(result);
    }
}
