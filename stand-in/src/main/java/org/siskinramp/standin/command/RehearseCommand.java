package org.siskinramp.standin.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.RestOfArgumentsHandler;
import org.siskinramp.log.EventLog;
import org.siskinramp.log.LogEvent;
import org.siskinramp.standin.store.StoreStandIn;
import org.siskinramp.standin.upstream.SampleDeployment;
import org.siskinramp.standin.upstream.UpstreamStandIn;

/**
 * Runs a gateway once with a stand-in store and two backend servers, so that the JVM can write the
 * classes that the gateway loads to a class data sharing (CDS) archive. The arguments are the
 * command that starts the gateway.
 */
public final class RehearseCommand implements StandInCommand {

    private static final int REQUESTS = 60;
    private static final int FAILURE_STATUS = 1;
    private static final long START_TIMEOUT_MILLISECONDS = 20_000;
    private static final long STOP_TIMEOUT_SECONDS = 60;
    private static final long POLL_MILLISECONDS = 50;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
    private static final Pattern STARTED = Pattern.compile("event=started .*caller_port=(\\d+)");

    @Argument(
            usage = "command that starts the gateway",
            metaVar = "COMMAND",
            handler = RestOfArgumentsHandler.class)
    private List<String> gatewayCommand = new ArrayList<>();

    @Override
    public int run(EventLog output) {
        try {
            return rehearse(output);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return FAILURE_STATUS;
        }
    }

    private int rehearse(EventLog output) throws IOException, InterruptedException {
        Path directory = Files.createTempDirectory("rehearsal");
        Path log = directory.resolve("gateway.log");
        try (StoreStandIn store = StoreStandIn.start("127.0.0.1:0");
                UpstreamStandIn first = new UpstreamStandIn("i-1", "desk", "zone-a", 4, 5, store);
                UpstreamStandIn second =
                        new UpstreamStandIn("i-2", "desk", "zone-b", 4, 5, store)) {
            store.put("op", "config", SampleDeployment.configuration(1));
            Path settings = directory.resolve("gateway.toml");
            Files.writeString(settings, SampleDeployment.settings(store.address()));
            ProcessBuilder builder =
                    new ProcessBuilder(gatewayCommand)
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile());
            builder.environment().put("SISKINRAMP_BOOT", settings.toString());
            Process process = builder.start();
            try {
                int answered = send(awaitPort(log, process));
                process.destroy();
                boolean ended = process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
                output.record(
                        LogEvent.named("rehearsed")
                                .with("answered", answered)
                                .with("runs", first.runs().size() + second.runs().size())
                                .with("ended", ended)
                                .with("log", log));
                return ended && answered > 0 ? 0 : FAILURE_STATUS;
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static int awaitPort(Path log, Process process)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLISECONDS);
        while (process.isAlive() && System.nanoTime() < end) {
            Matcher matcher = STARTED.matcher(Files.readString(log));
            if (matcher.find()) {
                return Integer.parseInt(matcher.group(1));
            }
            Thread.sleep(POLL_MILLISECONDS);
        }
        throw new IllegalStateException("the gateway did not start: " + log);
    }

    /** Every tenth request has no route, so that the classes for refusals are loaded as well. */
    private static String path(int number) {
        return number % 10 == 9 ? "/nowhere/x" : "/read/x";
    }

    private static int send(int port) throws InterruptedException {
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        int answered = 0;
        for (int number = 0; number < REQUESTS; number++) {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://localhost:" + port + path(number)))
                            .timeout(REQUEST_TIMEOUT)
                            .header("X-Siskinramp-Request-Id", "rehearsal-" + number)
                            .header("X-Siskinramp-Request-Deadline-Ms", "1000");
            if (number % 2 == 0) {
                request.POST(HttpRequest.BodyPublishers.ofString("body"));
            }
            try {
                int status =
                        client.send(request.build(), HttpResponse.BodyHandlers.ofString())
                                .statusCode();
                answered += status == 200 ? 1 : 0;
            } catch (IOException lost) {
                // A request without an answer is not counted.
            }
            Thread.sleep(POLL_MILLISECONDS);
        }
        return answered;
    }
}
