package org.siskinramp.host;

import java.io.PrintStream;
import java.util.List;
import java.util.stream.LongStream;

/** Executes the randomised runs of a range of seeds and prints the violations that they detect. */
public final class RandomisedRuns {

    private RandomisedRuns() {}

    /**
     * Executes runs, several in parallel.
     *
     * @param first the first seed
     * @param last the last seed
     * @param output receives a line for each run, and the faults and the first ten violations of
     *     each run that detected any
     * @return how many runs detected a violation
     */
    public static long execute(long first, long last, PrintStream output) {
        return LongStream.rangeClosed(first, last)
                .parallel()
                .filter(seed -> !execute(seed, output))
                .count();
    }

    private static boolean execute(long seed, PrintStream output) {
        RandomisedRun run = new RandomisedRun(seed, RandomisedRun.Options.DEFAULT);
        List<String> violations = run.execute();
        output.printf(
                "event=randomised_run seed=%d violations=%d %s%n",
                seed, violations.size(), run.summary());
        if (!violations.isEmpty()) {
            report(run, violations, output);
        }
        return violations.isEmpty();
    }

    private static void report(RandomisedRun run, List<String> violations, PrintStream output) {
        synchronized (output) {
            violations.stream().limit(10).forEach(text -> output.println("  violation: " + text));
            run.eventsWith(" fault ").forEach(event -> output.println("  " + event));
            output.printf(
                    "  again: bin/stand-in randomised --seeds %d..%d%n", run.seed(), run.seed());
        }
    }

    /**
     * Executes one run and prints its violations and the events that contain a word.
     *
     * @param seed the seed
     * @param word the word
     * @param output receives the lines
     */
    public static void printEvents(long seed, String word, PrintStream output) {
        RandomisedRun run = new RandomisedRun(seed, RandomisedRun.Options.DEFAULT);
        run.execute().forEach(output::println);
        run.eventsWith(word).forEach(output::println);
    }
}
