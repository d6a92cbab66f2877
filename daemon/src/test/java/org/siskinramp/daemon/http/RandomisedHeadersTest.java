package org.siskinramp.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.request.Header;

/**
 * Sends messages whose header values resemble those of earlier ones, or those that the library
 * knows, to one parser. Guards against any value that is returned in another form.
 */
class RandomisedHeadersTest {

    private static final int MESSAGES = 1_000;
    private static final int HEADERS_OF_A_MESSAGE = 4;
    private static final int EARLIER_VALUES = 50;
    private static final int PARSE_CALLS_OF_A_MESSAGE = 5;
    private static final String SUFFIX_CHARACTERS = "azAZ09-_=;, /\"%\u0080\u00e4\u00c4\u00ff";

    /** Headers that frame the message. */
    private static final Set<HttpHeader> FRAMING =
            EnumSet.of(
                    HttpHeader.HOST,
                    HttpHeader.CONTENT_LENGTH,
                    HttpHeader.TRANSFER_ENCODING,
                    HttpHeader.EXPECT);

    private static final List<String> NAMES =
            Arrays.stream(HttpHeader.values())
                    .filter(header -> !header.isPseudo() && !FRAMING.contains(header))
                    .map(HttpHeader::asString)
                    .toList();

    private static final List<HttpField> KNOWN_FIELDS =
            HttpParser.CACHE.keySet().stream()
                    .map(HttpParser.CACHE::get)
                    .filter(Objects::nonNull)
                    .filter(field -> isText(field.getValue()))
                    .filter(field -> NAMES.contains(field.getName()))
                    .toList();

    private final List<String> earlierValues = new ArrayList<>();
    private final Recorder recorder = new Recorder();

    /** Some entries of the table have no value, or one that cannot be sent. */
    private static boolean isText(String value) {
        return value != null && !value.isBlank() && value.chars().allMatch(c -> c >= ' ');
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void valuesOfRequestsAreKept(long seed) {
        HttpParser parser = new HttpParser((HttpParser.RequestHandler) recorder);
        assertValuesKept(parser, "GET /read HTTP/1.1\r\nHost: h\r\n", new Random(seed));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void valuesOfAnswersAreKept(long seed) {
        HttpParser parser = new HttpParser((HttpParser.ResponseHandler) recorder);
        assertValuesKept(parser, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n", new Random(seed));
    }

    private void assertValuesKept(HttpParser parser, String start, Random random) {
        VerbatimHeaders.setUp(parser);
        for (int message = 0; message < MESSAGES; message++) {
            List<Header> sent = new ArrayList<>();
            StringBuilder head = new StringBuilder(start);
            for (int header = 0; header < HEADERS_OF_A_MESSAGE; header++) {
                Header next = nextHeader(random);
                sent.add(next);
                head.append(next.name()).append(random.nextBoolean() ? ": " : ":");
                head.append(next.value()).append("\r\n");
            }
            recorder.received.clear();
            parse(parser, head.append("\r\n").toString(), random);
            assertEquals(sent, recorder.received, "message " + message);
        }
    }

    private Header nextHeader(Random random) {
        HttpField known = KNOWN_FIELDS.get(random.nextInt(KNOWN_FIELDS.size()));
        String name =
                random.nextBoolean() ? known.getName() : NAMES.get(random.nextInt(NAMES.size()));
        boolean isEarlier = !earlierValues.isEmpty() && random.nextBoolean();
        String similar =
                isEarlier
                        ? earlierValues.get(random.nextInt(earlierValues.size()))
                        : known.getValue();
        String value = vary(similar, random);
        earlierValues.add(value);
        if (earlierValues.size() > EARLIER_VALUES) {
            earlierValues.remove(0);
        }
        return new Header(name, value);
    }

    /** Changes the case of some letters, and appends some characters to one value of three. */
    private static String vary(String value, Random random) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < value.length(); index++) {
            char character = value.charAt(index);
            boolean isChanged = character < 128 && random.nextInt(4) == 0;
            text.append(isChanged ? otherCase(character) : character);
        }
        int suffixLength = random.nextInt(3) == 0 ? 1 + random.nextInt(4) : 0;
        for (int index = 0; index < suffixLength; index++) {
            text.append(SUFFIX_CHARACTERS.charAt(random.nextInt(SUFFIX_CHARACTERS.length())));
        }
        return text.toString().strip();
    }

    private static char otherCase(char letter) {
        return Character.isUpperCase(letter)
                ? Character.toLowerCase(letter)
                : Character.toUpperCase(letter);
    }

    /** Parses a message that arrives in two pieces. */
    private static void parse(HttpParser parser, String message, Random random) {
        byte[] bytes = message.getBytes(StandardCharsets.ISO_8859_1);
        int firstBytes = random.nextInt(bytes.length);
        parser.parseNext(ByteBuffer.wrap(Arrays.copyOf(bytes, firstBytes)));
        ByteBuffer rest = ByteBuffer.wrap(Arrays.copyOfRange(bytes, firstBytes, bytes.length));
        for (int call = 0; call < PARSE_CALLS_OF_A_MESSAGE; call++) {
            parser.parseNext(rest);
        }
        parser.reset();
    }

    private static final class Recorder
            implements HttpParser.RequestHandler, HttpParser.ResponseHandler {

        private final List<Header> received = new ArrayList<>();

        @Override
        public void startRequest(String method, String target, HttpVersion version) {}

        @Override
        public void startResponse(HttpVersion version, int status, String reason) {}

        @Override
        public void parsedHeader(HttpField field) {
            if (!FRAMING.contains(field.getHeader())) {
                received.add(new Header(field.getName(), field.getValue()));
            }
        }

        @Override
        public boolean headerComplete() {
            return true;
        }

        @Override
        public boolean content(ByteBuffer content) {
            return true;
        }

        @Override
        public boolean contentComplete() {
            return true;
        }

        @Override
        public boolean messageComplete() {
            return true;
        }

        @Override
        public void earlyEOF() {
            throw new AssertionError("the message ended early");
        }

        @Override
        public void badMessage(HttpException failure) {
            throw new AssertionError(failure.getReason());
        }
    }
}
