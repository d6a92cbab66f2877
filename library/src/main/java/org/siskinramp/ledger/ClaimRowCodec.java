package org.siskinramp.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.siskinramp.platform.RowKey;
import org.siskinramp.request.Header;
import org.siskinramp.request.RequestKey;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Encodes the content of claim rows as JSON, and decodes it. */
public final class ClaimRowCodec {

    /** The table that holds the claims. */
    public static final String TABLE = "claims";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ClaimRowCodec() {}

    /**
     * Returns the key of the claim row of a request.
     *
     * @param key the caller and identifier
     * @return the key of the row
     */
    public static RowKey rowKey(RequestKey key) {
        return new RowKey(TABLE, encode(key.caller()) + "/" + encode(key.requestId()));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    static String write(ClaimRow row) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("state", row.state().label());
        json.put("token", row.token());
        json.put("host", row.host());
        json.put("incarnation", row.incarnation());
        json.put("content_hash", row.contentHash());
        json.put("claimed_at", row.claimedMilliseconds());
        json.put("deadline", row.deadlineMilliseconds());
        json.put("settled_at", row.settledMilliseconds());
        row.answer().ifPresent(answer -> json.set("answer", writeAnswer(answer)));
        return json.toString();
    }

    private static ObjectNode writeAnswer(StoredAnswer answer) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("status", answer.status());
        json.put("length", answer.length());
        ArrayNode headers = json.putArray("headers");
        for (Header header : answer.headers()) {
            headers.addArray().add(header.name()).add(header.value());
        }
        answer.body().ifPresent(body -> json.put("body", body));
        answer.object().ifPresent(object -> json.put("object", object));
        return json;
    }

    /**
     * Decodes the content of a claim row.
     *
     * @param text the content, as JSON
     * @return the decoded content
     * @throws ResultException with {@code INVARIANT_VIOLATED} if it is malformed
     */
    public static ClaimRow read(String text) {
        try {
            JsonNode json = MAPPER.readTree(text);
            return new ClaimRow(
                    ClaimState.ofLabel(json.path("state").asText()),
                    required(json, "token"),
                    json.path("host").asText(),
                    json.path("incarnation").asText(),
                    required(json, "content_hash"),
                    json.path("claimed_at").asLong(),
                    json.path("deadline").asLong(),
                    json.path("settled_at").asLong(),
                    readAnswer(json.path("answer")));
        } catch (JsonProcessingException | IllegalArgumentException failure) {
            throw new ResultException(
                    ResultCode.INVARIANT_VIOLATED, "a claim row is malformed", failure);
        }
    }

    private static String required(JsonNode json, String field) {
        String text = json.path(field).asText();
        if (text.isEmpty()) {
            throw new IllegalArgumentException("no " + field);
        }
        return text;
    }

    private static Optional<StoredAnswer> readAnswer(JsonNode json) {
        if (json.isMissingNode()) {
            return Optional.empty();
        }
        List<Header> headers = new ArrayList<>();
        json.path("headers")
                .forEach(
                        header ->
                                headers.add(
                                        new Header(
                                                header.path(0).asText(), header.path(1).asText())));
        Optional<byte[]> body =
                Optional.ofNullable(json.get("body"))
                        .map(node -> Base64.getDecoder().decode(node.asText()));
        return Optional.of(
                new StoredAnswer(
                        json.path("status").asInt(),
                        headers,
                        json.path("length").asInt(),
                        body,
                        Optional.ofNullable(json.get("object")).map(JsonNode::asText)));
    }
}
