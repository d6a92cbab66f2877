package org.siskinramp.journal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Encodes batches as JSON, and decodes them. */
final class BatchCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private BatchCodec() {}

    static byte[] write(JournalBatch batch) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("host", batch.host());
        json.put("incarnation", batch.incarnation());
        json.put("sequence", batch.sequence());
        json.put("covered_until", batch.coveredUntilMilliseconds());
        ArrayNode entries = json.putArray("entries");
        batch.entries().forEach(entry -> writeEntry(entries.addObject(), entry));
        ArrayNode gaps = json.putArray("gaps");
        for (JournalGap gap : batch.gaps()) {
            gaps.addObject()
                    .put("from", gap.fromMilliseconds())
                    .put("until", gap.untilMilliseconds())
                    .put("dropped", gap.droppedEntries())
                    .put("reason", gap.reason());
        }
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void writeEntry(ObjectNode json, JournalEntry entry) {
        json.put("caller", entry.key().caller());
        json.put("request_id", entry.key().requestId());
        json.put("kind", entry.kind());
        json.put("idempotent", entry.idempotent());
        json.put("content_hash", entry.contentHash());
        json.put("claim", entry.claim());
        json.put("code", entry.resultCode());
        json.put("arrived_at", entry.arrivedMilliseconds());
        json.put("duration_ms", entry.durationMilliseconds());
        ArrayNode attempts = json.putArray("attempts");
        for (JournalAttempt attempt : entry.attempts()) {
            attempts.addObject()
                    .put("backend_server", attempt.backendServer())
                    .put("result", attempt.result())
                    .put("may_have_run", attempt.mayHaveRun());
        }
    }

    static JournalBatch read(byte[] content) {
        try {
            return readBatch(MAPPER.readTree(new String(content, StandardCharsets.UTF_8)));
        } catch (JsonProcessingException failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "a journal batch is malformed", failure);
        }
    }

    private static JournalBatch readBatch(JsonNode json) {
        if (!json.path("entries").isArray()) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "a journal batch has no entries");
        }
        String host = json.path("host").asText();
        String incarnation = json.path("incarnation").asText();
        List<JournalEntry> entries = new ArrayList<>();
        json.path("entries").forEach(entry -> entries.add(readEntry(entry)));
        List<JournalGap> gaps = new ArrayList<>();
        json.path("gaps")
                .forEach(
                        gap ->
                                gaps.add(
                                        new JournalGap(
                                                host,
                                                incarnation,
                                                gap.path("from").asLong(),
                                                gap.path("until").asLong(),
                                                gap.path("dropped").asLong(),
                                                gap.path("reason").asText())));
        return new JournalBatch(
                host,
                incarnation,
                json.path("sequence").asLong(),
                json.path("covered_until").asLong(),
                entries,
                gaps);
    }

    private static JournalEntry readEntry(JsonNode json) {
        List<JournalAttempt> attempts = new ArrayList<>();
        json.path("attempts")
                .forEach(
                        attempt ->
                                attempts.add(
                                        new JournalAttempt(
                                                attempt.path("backend_server").asText(),
                                                attempt.path("result").asText(),
                                                attempt.path("may_have_run").asBoolean(true))));
        return new JournalEntry(
                new RequestKey(json.path("caller").asText(), json.path("request_id").asText()),
                json.path("kind").asText(),
                json.path("idempotent").asBoolean(),
                json.path("content_hash").asText(),
                json.path("claim").asText(),
                attempts,
                json.path("code").asInt(),
                json.path("arrived_at").asLong(),
                json.path("duration_ms").asLong());
    }
}
