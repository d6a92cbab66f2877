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

/** Tells by the logs of gateways what became of a request. */
final class RequestTraceCommand extends Command {

    /** Reads any byte, so that one broken line does not end the search. */
    private static final Charset ANY_BYTES = StandardCharsets.ISO_8859_1;

    @Argument(index = 0, metaVar = "REQUEST_ID", required = true, usage = "the request's id")
    private String requestId;

    @Argument(
            index = 1,
            metaVar = "FILE",
            multiValued = true,
            usage = "log files of gateways; without any, standard input is read")
    private List<Path> files = new ArrayList<>();

    @Override
    ExitStatus run(Console console) {
        RequestTrace trace = new RequestTrace(requestId);
        if (files.isEmpty()) {
            new BufferedReader(new InputStreamReader(System.in, ANY_BYTES))
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
        try (BufferedReader reader = Files.newBufferedReader(file, ANY_BYTES)) {
            reader.lines().forEach(trace::add);
        } catch (IOException | UncheckedIOException unreadable) {
            throw new ResultException(
                    ResultCode.FILE_UNREADABLE, "cannot read " + file, unreadable);
        }
    }
}
