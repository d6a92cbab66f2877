package org.siskinramp.standin.command;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kohsuke.args4j.Option;
import org.siskinramp.host.RandomisedRuns;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Executes randomised runs of complete entry hosts under virtual time. */
public final class RandomisedCommand implements StandInCommand {

    private static final Pattern RANGE = Pattern.compile("(\\d{1,18})\\.\\.(\\d{1,18})");

    @Option(name = "--seeds", metaVar = "A..B", usage = "the first and the last seed")
    private String seeds = "1..100";

    @Option(
            name = "--events",
            metaVar = "WORD",
            usage = "run the first seed only; print events that contain a word (e.g. request ID)")
    private String word = "";

    @Override
    public int run(EventLog output) {
        Matcher range = RANGE.matcher(seeds);
        if (!range.matches()) {
            throw new ResultException(ResultCode.USAGE, "seeds are A..B, not " + seeds);
        }
        long first = Long.parseLong(range.group(1));
        long last = Long.parseLong(range.group(2));
        if (!word.isEmpty()) {
            RandomisedRuns.printEvents(first, word, System.out);
            return 0;
        }
        long violated = RandomisedRuns.execute(first, last, System.out);
        output.record(
                LogEvent.named("randomised_result")
                        .with("seeds", last - first + 1)
                        .with("violated", violated));
        return violated == 0 ? 0 : 1;
    }
}
