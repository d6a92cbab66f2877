package org.siskinramp.standin.command;

import org.kohsuke.args4j.Option;
import org.siskinramp.log.EventLog;
import org.siskinramp.standin.capacity.ScalingBenchmarks;

/** Measures how memory, processor time and messages grow with the size of a deployment. */
public final class SlopesCommand implements StandInCommand {

    @Option(name = "--part", usage = "part to measure; all parts if not given")
    private String part = "";

    @Override
    public int run(EventLog output) {
        ScalingBenchmarks.measure(part, output);
        return 0;
    }
}
