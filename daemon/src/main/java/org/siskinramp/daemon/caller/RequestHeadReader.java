package org.siskinramp.daemon.caller;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpURI;
import org.siskinramp.configuration.Configuration;
import org.siskinramp.configuration.Service;
import org.siskinramp.daemon.exchange.ConnectionHeaders;
import org.siskinramp.request.Header;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Validates the headers of a request and determines its service and kind. */
final class RequestHeadReader {

    static final String REQUEST_ID = "Request-Id";

    private static final String CALLER = "Caller";
    private static final long RETRY_WITHOUT_CONFIGURATION_MILLISECONDS = 1_000;
    private static final String REQUEST_DEADLINE = "Request-Deadline";
    private static final int NAME_LIMIT_CHARACTERS = 200;
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final Set<String> PROTOCOL_HEADERS =
            Set.of("request-id", "caller", "request-deadline", "attempt");

    private final Supplier<Configuration> configuration;
    private final long defaultDeadlineMilliseconds;

    RequestHeadReader(Supplier<Configuration> configuration, long defaultDeadlineMilliseconds) {
        this.configuration = configuration;
        this.defaultDeadlineMilliseconds = defaultDeadlineMilliseconds;
    }

    /** Reads the headers; throws a {@link ResultException} if they are invalid. */
    RequestHead read(CallerRequest request) {
        long arrivedMilliseconds = request.arrivedMilliseconds();
        String path = request.uri().getCanonicalPath();
        Service service = serviceOf(path);
        RequestKind kind = kindOf(service, request.method(), path);
        String caller =
                nameHeader(request, CALLER)
                        .orElseThrow(() -> refusal(ResultCode.CALLER_MISSING, "path=" + path));
        String requestId = requestId(request, kind);
        return new RequestHead(
                new RequestKey(caller, requestId),
                service.name(),
                kind,
                request.method(),
                target(request.uri()),
                forwardedHeaders(request),
                arrivedMilliseconds,
                arrivedMilliseconds + timeLimitMilliseconds(request, service));
    }

    private Service serviceOf(String path) {
        if (path == null) {
            throw refusal(ResultCode.REQUEST_INVALID, "the target has no path");
        }
        Configuration current = configuration.get();
        if (current.version() == 0) {
            throw new ResultException(
                    ResultCode.NO_BACKEND_SERVER,
                    "this entry host has no configuration yet",
                    RETRY_WITHOUT_CONFIGURATION_MILLISECONDS);
        }
        return current.serviceOfPath(path)
                .orElseThrow(() -> refusal(ResultCode.SERVICE_UNKNOWN, "path=" + path));
    }

    private static RequestKind kindOf(Service service, String method, String path) {
        return service.kindOf(method, path)
                .orElseGet(
                        () ->
                                IDEMPOTENT_METHODS.contains(method)
                                        ? new RequestKind("read", method, path, true, 1)
                                        : new RequestKind("write", method, path, false, 1));
    }

    private static String requestId(CallerRequest request, RequestKind kind) {
        Optional<String> identifier = nameHeader(request, REQUEST_ID);
        if (identifier.isEmpty() && !kind.idempotent()) {
            throw refusal(ResultCode.REQUEST_ID_MISSING, "kind=" + kind.name());
        }
        return identifier.orElseGet(() -> UUID.randomUUID().toString());
    }

    private static Optional<String> nameHeader(CallerRequest request, String header) {
        List<String> values = request.headers().getValuesList(header);
        if (values.isEmpty()) {
            return Optional.empty();
        }
        if (values.size() > 1 || !isName(values.get(0))) {
            throw refusal(
                    ResultCode.REQUEST_INVALID,
                    header + " must be one to 200 visible characters without a slash");
        }
        return Optional.of(values.get(0));
    }

    private static boolean isName(String value) {
        return !value.isEmpty()
                && value.length() <= NAME_LIMIT_CHARACTERS
                && value.chars().allMatch(c -> c > ' ' && c < 127 && c != '/');
    }

    private long timeLimitMilliseconds(CallerRequest request, Service service) {
        List<String> values = request.headers().getValuesList(REQUEST_DEADLINE);
        long requestedMilliseconds =
                values.isEmpty() ? defaultDeadlineMilliseconds : parseMilliseconds(values.get(0));
        return Math.min(requestedMilliseconds, service.timeLimitMilliseconds());
    }

    private static long parseMilliseconds(String text) {
        try {
            long milliseconds = Long.parseLong(text.strip());
            if (milliseconds > 0) {
                return milliseconds;
            }
        } catch (NumberFormatException malformed) {
            throw refusal(ResultCode.REQUEST_INVALID, REQUEST_DEADLINE + "=" + text);
        }
        throw refusal(ResultCode.REQUEST_INVALID, REQUEST_DEADLINE + "=" + text);
    }

    private static String target(HttpURI uri) {
        return uri.getPathQuery();
    }

    private static List<Header> forwardedHeaders(CallerRequest request) {
        List<Header> headers =
                request.headers().stream()
                        .map(field -> new Header(field.getName(), field.getValue()))
                        .toList();
        return ConnectionHeaders.without(headers, PROTOCOL_HEADERS);
    }

    private static ResultException refusal(ResultCode code, String detail) {
        return new ResultException(code, detail);
    }
}
