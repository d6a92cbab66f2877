package org.siskinramp.daemon.documents;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.siskinramp.result.ResultCode;

final class ResultCodesPageTest {

    @Test
    void thePageHasARowForEachResultCodeInOrder() throws IOException {
        List<String> rows =
                Files.readAllLines(Path.of("../docs/RESULT-CODES.md")).stream()
                        .filter(line -> line.matches("\\| \\d.*"))
                        .toList();

        assertEquals(Arrays.stream(ResultCode.values()).map(this::row).toList(), rows);
    }

    private String row(ResultCode code) {
        return "| %d | %s | %d | %s | %s |"
                .formatted(
                        code.number(),
                        code.name(),
                        code.httpStatus(),
                        code.isNotRun() ? "yes" : "no",
                        code.meaning());
    }
}
