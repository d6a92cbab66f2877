package org.siskinramp.daemon.commandline;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.trace.RequestTrace;

/** Determines the outcome of a request from the logs of gateways. */
final class RequestTraceCommand extends Command {

    /** Decodes any byte, so that a line with invalid UTF-8 does not end the search. */
    private static final Charset LOG_CHARSET = StandardCharsets.ISO_8859_1;

    @Argument(
            index = 0,
            metaVar = "REQUEST_ID",
            required = true,
            usage = "the request's identifier")
    private String requestId;

    @Argument(
            index = 1,
            metaVar = "FILE",
            multiValued = true,
            usage = "log files of gateways; standard input if none is given")
    private List<Path> files = new ArrayList<>();

    @Override
    ExitStatus run(Console console) {
        RequestTrace trace = new RequestTrace(requestId);
        if (files.isEmpty()) {
            new BufferedReader(new InputStreamReader(System.in, LOG_CHARSET))
                    .lines()
                    .forEach(trace::add);
        }
        files.forEach(file -> read(file, trace));
        console.output()
                .println(
                        "request "
                                + requestId
                                + " "
                                + trace.verdict().description()
                                + ": "
                                + trace.reason());
        trace.lines().forEach(console.output()::println);
        return ExitStatus.SUCCESS;
    }

    private static void read(Path file, RequestTrace trace) {
        try (BufferedReader reader = Files.newBufferedReader(file, LOG_CHARSET)) {
            reader.lines().forEach(trace::add);
        } catch (IOException | UncheckedIOException unreadable) {
            throw new ResultException(
                    ResultCode.FILE_UNREADABLE, "cannot read " + file, unreadable);
        }
    }
}
