package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.administration.ErrorBody;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultException;

/** Writes results, refusals and failures as lines of a word and key=value pairs. */
final class TextLine {

    private static final String EVENT = "event=";

    private TextLine() {}

    static String ofFailure(ResultException failure) {
        return ofError(ErrorBody.of(failure));
    }

    static String ofError(ErrorBody error) {
        return of(
                LogEvent.named("error")
                        .with("code", error.code())
                        .with("name", error.name())
                        .with("message", error.message()));
    }

    static String of(LogEvent event) {
        return event.toLine().substring(EVENT.length());
    }
}
