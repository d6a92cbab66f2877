package org.siskinramp.daemon.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.siskinramp.daemon.settings.SettingsFile;

final class ExamplesTest {

    private static final Path EXAMPLES = Path.of("../examples");

    @TempDir private Path directory;

    @Test
    void theSettingsOfTheExamplesAreValid() throws IOException {
        Files.writeString(directory.resolve("administration-token"), "abcdefghijklmnop");
        for (String example : List.of("qazaq", "lombard")) {
            Path copy = directory.resolve(example + ".toml");
            Files.copy(EXAMPLES.resolve(example).resolve("settings.toml"), copy);

            assertEquals(List.of(), SettingsFile.check(copy).errors());
        }
    }

    @Test
    void theSettingsOfTheGatewayExampleAreValid() {
        Path settings = EXAMPLES.resolve("gateway").resolve("settings.toml");
        assertEquals(List.of(), SettingsFile.checkGateway(settings).errors());
    }

    @Test
    void eachInvalidSeedAddressIsReported() throws IOException {
        Path copy = directory.resolve("gateway.toml");
        String settings = Files.readString(EXAMPLES.resolve("gateway").resolve("settings.toml"));
        Files.writeString(
                copy,
                settings.replace(
                        "[peers]", "[peers]\nseeds = [\"10.0.0.1:80\", \"edge-2:80\", 7]"));
        List<String> errors =
                SettingsFile.checkGateway(copy).errors().stream().map(Object::toString).toList();
        assertEquals(2, errors.size(), errors.toString());
        assertTrue(errors.get(0).contains("edge-2:80 is not an address"), errors.get(0));
        assertTrue(errors.get(1).contains("7 is not an address"), errors.get(1));
    }

    @Test
    void theExampleTicketsDescribeTheirDeployments() throws IOException {
        JsonNode qazaq = ticket("qazaq");
        JsonNode lombard = ticket("lombard");

        assertEquals(3, qazaq.get("availability_zones").size());
        assertEquals(30 * 4, slots(qazaq, "schedule-consent"));
        assertEquals(6 * 4, slots(qazaq, "dispatch"));
        assertEquals(4, lombard.get("availability_zones").size());
        assertEquals(20 * 6, slots(lombard, "tender-portal"));
        assertEquals(8 * 6, slots(lombard, "protocol-registry"));
    }

    private static JsonNode ticket(String example) throws IOException {
        Path file = EXAMPLES.resolve(example).resolve("ticket-1.json");
        return new ObjectMapper().readTree(Files.readString(file));
    }

    private static int slots(JsonNode ticket, String service) {
        return StreamSupport.stream(ticket.get("backend_servers").spliterator(), false)
                .filter(server -> server.get("service").asText().equals(service))
                .mapToInt(server -> server.get("slots").asInt())
                .sum();
    }
}
