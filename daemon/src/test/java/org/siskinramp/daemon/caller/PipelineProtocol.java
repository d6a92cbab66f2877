package org.siskinramp.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.siskinramp.request.Answer;
import org.siskinramp.request.CallerConnection;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Paths with {@code unsafe} are not idempotent, and those with {@code refused} are refused. */
final class PipelineProtocol implements CallerProtocol {

    private final List<Processed> processed = new CopyOnWriteArrayList<>();
    private final Consumer<Processed> onProcessed;

    PipelineProtocol(Consumer<Processed> onProcessed) {
        this.onProcessed = onProcessed;
    }

    /** A request that was handed to the gateway. */
    record Processed(
            CallerRequest request, CallerConnection connection, CompletableFuture<Answer> answer) {

        String path() {
            return request.uri().getPath();
        }

        boolean isSafe() {
            return !path().contains("unsafe");
        }

        void complete(byte[] body) {
            answer.complete(new Answer(ResultCode.ANSWERED, 200, List.of(), body));
        }

        void complete() {
            complete(path().getBytes(StandardCharsets.UTF_8));
        }
    }

    List<Processed> processed() {
        return processed;
    }

    List<String> paths() {
        return processed.stream().map(Processed::path).toList();
    }

    @Override
    public AcceptedRequest read(CallerRequest request) {
        String path = request.uri().getPath();
        if (path.contains("refused")) {
            throw new ResultException(ResultCode.KEY_UNKNOWN, path);
        }
        return new AcceptedRequest() {
            @Override
            public String requestId() {
                return path;
            }

            @Override
            public long deadlineMilliseconds() {
                return request.arrivedMilliseconds() + 1_000;
            }

            @Override
            public boolean mayStartEarly() {
                return !path.contains("unsafe");
            }

            @Override
            public CompletableFuture<Answer> process(byte[] body, CallerConnection connection) {
                Processed next = new Processed(request, connection, new CompletableFuture<>());
                processed.add(next);
                onProcessed.accept(next);
                return next.answer;
            }
        };
    }

    @Override
    public String requestIdOf(Request request) {
        return null;
    }

    @Override
    public void addHeaders(Answer answer, String requestId, HttpFields.Mutable headers) {}

    @Override
    public void addHeaders(ResultException refusal, String requestId, HttpFields.Mutable headers) {}

    @Override
    public int statusOf(ResultException refusal) {
        return refusal.code().httpStatus();
    }
}
