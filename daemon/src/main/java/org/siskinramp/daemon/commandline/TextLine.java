package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.administration.ErrorBody;
import org.siskinramp.log.LogEvent;
import org.siskinramp.result.ResultException;

/** Formats results, refusals and failures as lines of a name and key=value pairs. */
final class TextLine {

    private static final String EVENT_PREFIX = "event=";

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
        return event.toLine().substring(EVENT_PREFIX.length());
    }
}
