package org.siskinramp.daemon.administration;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.daemon.administration.command.AdministrationCommands;
import org.siskinramp.daemon.administration.query.AdministrationQueries;
import org.siskinramp.daemon.metrics.Metrics;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Routes each request of the administration API to its command or query. */
final class AdministrationRoutes {

    private static final int READY_STATUS = 200;
    private static final int NOT_READY_STATUS = 503;

    private final AdministrationToken token;
    private final AdministrationCommands commands;
    private final AdministrationQueries queries;
    private final Metrics metrics;
    private final EventLog eventLog;

    AdministrationRoutes(
            AdministrationToken token,
            AdministrationCommands commands,
            AdministrationQueries queries,
            Metrics metrics,
            EventLog eventLog) {
        this.token = token;
        this.commands = commands;
        this.queries = queries;
        this.metrics = metrics;
        this.eventLog = eventLog;
    }

    /** Answers a request. The future never fails: a failure is answered with an error body. */
    CompletableFuture<ApiAnswer> answer(ApiRequest request) {
        return CompletableFuture.completedFuture(request)
                .thenCompose(this::route)
                .exceptionally(failure -> ApiAnswer.failure(ResultException.from(failure)));
    }

    private CompletableFuture<ApiAnswer> route(ApiRequest request) {
        Optional<ApiAnswer> unauthenticated = unauthenticatedAnswer(request);
        if (unauthenticated.isPresent()) {
            return CompletableFuture.completedFuture(unauthenticated.get());
        }
        if (!token.accepts(request.authorization())) {
            eventLog.record(LogEvent.named("administration_unauthorized").with("request", request));
            throw new ResultException(
                    ResultCode.UNAUTHORIZED,
                    "send it as a bearer token in the Authorization header");
        }
        return commandAnswer(request)
                .or(() -> queryAnswer(request))
                .orElseThrow(
                        () -> new ResultException(ResultCode.RESOURCE_UNKNOWN, request.toString()));
    }

    private Optional<ApiAnswer> unauthenticatedAnswer(ApiRequest request) {
        if (request.matches("GET", "live")) {
            return Optional.of(ApiAnswer.text(READY_STATUS, "live"));
        }
        if (request.matches("GET", "ready")) {
            return Optional.of(
                    queries.isReady()
                            ? ApiAnswer.text(READY_STATUS, "ready")
                            : ApiAnswer.text(NOT_READY_STATUS, "not ready"));
        }
        if (request.matches("GET", "metrics")) {
            return Optional.of(ApiAnswer.content(Metrics.CONTENT_TYPE, metrics.exposition()));
        }
        return Optional.empty();
    }

    private Optional<CompletableFuture<ApiAnswer>> commandAnswer(ApiRequest request) {
        if (request.matches("POST", "v1", "tickets")) {
            return runCommand(request, () -> commands.fileTicket(request.body()));
        }
        if (request.matches("POST", "v1", "availability-zones", "*", "*")) {
            String name = request.segment(2);
            return stateOf(request.segment(3))
                    .flatMap(
                            state ->
                                    runCommand(
                                            request,
                                            () -> commands.changeAvailabilityZone(name, state)));
        }
        if (request.matches("POST", "v1", "hosts", "*", "*")) {
            String name = request.segment(2);
            return stateOf(request.segment(3))
                    .flatMap(state -> runCommand(request, () -> commands.changeHost(name, state)));
        }
        return Optional.empty();
    }

    private Optional<CompletableFuture<ApiAnswer>> queryAnswer(ApiRequest request) {
        if (request.matches("GET", "v1", "tickets")) {
            return Optional.of(queries.tickets().thenApply(ApiAnswer::json));
        }
        if (request.matches("GET", "v1", "tickets", "*")) {
            return ticketNumber(request.segment(2))
                    .map(number -> queries.ticket(number).thenApply(ApiAnswer::json));
        }
        if (request.matches("GET", "v1", "requests", "*", "*")) {
            RequestKey key = new RequestKey(request.segment(2), request.segment(3));
            return Optional.of(queries.request(key).thenApply(ApiAnswer::json));
        }
        if (request.matches("GET", "v1", "status")) {
            return Optional.of(queries.status().thenApply(ApiAnswer::json));
        }
        return Optional.empty();
    }

    private Optional<CompletableFuture<ApiAnswer>> runCommand(
            ApiRequest request, Supplier<? extends CompletableFuture<?>> action) {
        CompletableFuture<?> result = action.get();
        return Optional.of(
                result.whenComplete((receipt, failure) -> logCommand(request, receipt, failure))
                        .thenApply(ApiAnswer::json));
    }

    private void logCommand(ApiRequest request, Object receipt, Throwable failure) {
        LogEvent event = LogEvent.named("administration_command").with("request", request);
        if (failure == null) {
            event.with("code", ResultCode.ACCEPTED.number()).with("receipt", receipt);
        } else {
            ResultException result = ResultException.from(failure);
            event.with("code", result.code().number()).with("detail", result.getMessage());
        }
        eventLog.record(event);
    }

    private static Optional<AdministrativeState> stateOf(String label) {
        return switch (label) {
            case "in" -> Optional.of(AdministrativeState.IN);
            case "out" -> Optional.of(AdministrativeState.OUT);
            default -> Optional.empty();
        };
    }

    private static Optional<Long> ticketNumber(String text) {
        return text.matches("[0-9]{1,18}") ? Optional.of(Long.valueOf(text)) : Optional.empty();
    }
}
