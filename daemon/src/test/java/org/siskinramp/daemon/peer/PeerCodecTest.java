package org.siskinramp.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.siskinramp.configuration.AdministrativeState;
import org.siskinramp.configuration.BackendServer;
import org.siskinramp.fleet.ServerEntry;
import org.siskinramp.peer.Acknowledgement;
import org.siskinramp.peer.AllowanceAsk;
import org.siskinramp.peer.ColdSighting;
import org.siskinramp.peer.ConfigurationNotice;
import org.siskinramp.peer.FeedAsk;
import org.siskinramp.peer.FeedNews;
import org.siskinramp.peer.Heartbeat;
import org.siskinramp.peer.LoanGrant;
import org.siskinramp.peer.LoanReturn;
import org.siskinramp.peer.OperatorNews;
import org.siskinramp.peer.PeerMessage;
import org.siskinramp.peer.QuotaAsk;
import org.siskinramp.peer.QuotaGrant;
import org.siskinramp.peer.QuotaNeed;
import org.siskinramp.peer.QuotaStamp;
import org.siskinramp.peer.QuotaSurplus;
import org.siskinramp.peer.QuotaTokens;
import org.siskinramp.peer.RolloutNews;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.peer.RoutesAsk;
import org.siskinramp.peer.ServerAllowance;
import org.siskinramp.peer.ServiceSpare;
import org.siskinramp.peer.SlotRelease;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;
import org.siskinramp.rollout.RolloutOrder;
import org.siskinramp.rollout.RolloutReport;
import org.siskinramp.rollout.RolloutStage;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.RoutedService;
import org.siskinramp.route.ServiceShare;
import org.siskinramp.workspace.KeyDigest;
import org.siskinramp.workspace.Workspace;

class PeerCodecTest {

    private static final BackendServer SERVER =
            new BackendServer(
                    "i-1",
                    "desk",
                    "10.0.0.9",
                    "zone-1",
                    "10.0.0.9:80",
                    4,
                    1,
                    AdministrativeState.IN);

    private final PeerCodec codec = new PeerCodec(200);

    @Test
    void encodesLengthVersionTypeAndComponents() {
        assertArrayEquals(
                HexFormat.of().parseHex("0000000501920891" + "07"),
                codec.encode(new ConfigurationNotice(7)).bytes());
    }

    @Test
    void decodesEveryEncodedMessage() {
        assertRoundTrip(
                new Heartbeat(
                        "i9",
                        5_000_000_000L,
                        3,
                        4,
                        List.of(new Acknowledgement("i8", -1)),
                        List.of("entry-3"),
                        List.of(new ServerAllowance("d1", 2, "b7")),
                        9,
                        List.of(new ServiceSpare("dispatch", 6))));
        assertRoundTrip(
                new LoanGrant(
                        1, "dispatch", List.of(new LoanGrant.Loan(2, "d1", 0, 500, "b7")), 3));
        assertRoundTrip(new LoanReturn("dispatch", List.of(new LoanReturn.ReturnedLoan(1, 20))));
        assertRoundTrip(
                new SlotRelease(1, 2, true, List.of(new SlotRelease.ReleasedSlot("d1", 3))));
        assertRoundTrip(new ColdSighting("d1", ""));
        assertRoundTrip(new FeedAsk("10.0.0.1:80", -1));
        assertRoundTrip(
                new FeedNews(
                        3,
                        9,
                        false,
                        0,
                        false,
                        List.of(new ServerEntry(SERVER, true, 0, 1_000, 7, "v2")),
                        List.of("i-2"),
                        5,
                        6,
                        8,
                        4,
                        17,
                        2));
        QuotaStamp stamp = new QuotaStamp(1L << 40, 2, 1L << 41, -1, 0);
        List<QuotaTokens> tokens =
                List.of(new QuotaTokens("crew", List.of(new QuotaTokens.Lot(1_400, 1_923_809))));
        assertRoundTrip(new QuotaSurplus(stamp, true, tokens));
        assertRoundTrip(new QuotaAsk(stamp, false, List.of(new QuotaNeed("crew", 1_000_000))));
        assertRoundTrip(new QuotaGrant(stamp, true, tokens, List.of("crew")));
        assertRoundTrip(
                new OperatorNews(
                        9,
                        30,
                        5,
                        List.of(
                                new RouteLine(
                                        "r",
                                        "h",
                                        "/a/",
                                        true,
                                        true,
                                        2_000,
                                        600,
                                        1,
                                        3,
                                        List.of(new ServiceShare("desk", 2)))),
                        List.of(new RoutedService("desk", "/health", 260, 1.5)),
                        new CallerLimits(1, 2, 3, 4),
                        true,
                        List.of(new Workspace("crew", 1, 202, 50.5, List.of(new KeyDigest(-1, 7)))),
                        List.of("zone-1"),
                        1,
                        true));
        assertRoundTrip(new RoutesAsk(7));
        assertRoundTrip(
                new RolloutNews(
                        List.of(
                                new RolloutReport(
                                        new RolloutOrder("desk", "v2", 12_000, 7, 1L << 44 | 7),
                                        false,
                                        RolloutStage.RUNNING,
                                        true,
                                        -1))));
    }

    @Test
    void rejectsAnUnknownEnumConstant() {
        FeedNews feedNews =
                new FeedNews(
                        3,
                        9,
                        false,
                        0,
                        false,
                        List.of(new ServerEntry(SERVER, true, 0, 1_000, 7)),
                        List.of(),
                        5,
                        6,
                        8,
                        4,
                        17,
                        2);
        byte[] frame = codec.encode(feedNews).bytes();
        String frameWithUnknownConstant =
                HexFormat.of()
                        .formatHex(frame, PeerCodec.LENGTH_FIELD_BYTES, frame.length)
                        .replace("a2494e", "a2494d");
        ResultException failure =
                assertThrows(
                        ResultException.class,
                        () -> codec.decode(HexFormat.of().parseHex(frameWithUnknownConstant)));
        assertEquals(ResultCode.FRAME_INVALID, failure.code());
    }

    @Test
    void assignsANumberToEveryMessageOfTheLibrary() throws Exception {
        Path sources = Path.of("../library/src/main/java/org/siskinramp/peer");
        List<Class<?>> messages = new ArrayList<>();
        try (Stream<Path> files = Files.list(sources)) {
            for (Path file : files.sorted().toList()) {
                String name = file.getFileName().toString().replace(".java", "");
                if (!name.equals("package-info")) {
                    messages.add(Class.forName("org.siskinramp.peer." + name));
                }
            }
        }
        messages.removeIf(type -> !type.isRecord() || !PeerMessage.class.isAssignableFrom(type));
        assertTrue(messages.contains(AllowanceAsk.class), messages.toString());
        for (Class<?> type : messages) {
            int number = MessageTypes.numberOf(type.asSubclass(PeerMessage.class));
            assertEquals(Optional.of(type), MessageTypes.typeOf(number));
        }
    }

    @Test
    void skipsTypesAndComponentsOfLaterVersions() {
        assertEquals(Optional.empty(), codec.decode(HexFormat.of().parseHex("0192639107")));
        assertEquals(
                Optional.of(new ConfigurationNotice(7)),
                codec.decode(HexFormat.of().parseHex("01920892" + "07a178")));
    }

    /**
     * Versions in messages of earlier builds have no era and cannot be compared with ours; entries
     * of servers have no software version, without which a target would get requests.
     */
    @Test
    void ignoresMessagesOfEarlierBuilds() {
        for (String number : List.of("0d", "0e", "0f", "12", "14")) {
            byte[] frame = HexFormat.of().parseHex("0192" + number + "9107");
            assertEquals(Optional.empty(), codec.decode(frame), number);
        }
    }

    @Test
    void rejectsMalformedFrames() {
        for (String frame :
                List.of(
                        "",
                        "0292089107",
                        "01",
                        "01c0",
                        "019208",
                        "01920890",
                        "019208910700",
                        "01920891a178",
                        "019203" + "94" + "01a164" + "dfffffffff" + "00")) {
            ResultException failure =
                    assertThrows(
                            ResultException.class,
                            () -> codec.decode(HexFormat.of().parseHex(frame)),
                            frame);
            assertEquals(ResultCode.FRAME_INVALID, failure.code(), frame);
        }
    }

    @Test
    void rejectsAMessageBeyondTheFrameLimit() {
        ResultException failure =
                assertThrows(
                        ResultException.class,
                        () -> codec.encode(new ColdSighting("x".repeat(200), "")));
        assertEquals(ResultCode.FRAME_TOO_LARGE, failure.code());
    }

    @Test
    void reassemblesFramesFromPartialReads() {
        FrameReader reader = new FrameReader(200);
        byte[] bytes = HexFormat.of().parseHex("00000002aabb" + "00000001cc" + "0000");
        assertEquals(List.of(), reader.read(ByteBuffer.wrap(bytes, 0, 5)));
        List<byte[]> frames = reader.read(ByteBuffer.wrap(bytes, 5, 8));
        assertEquals(
                List.of("aabb", "cc"), frames.stream().map(HexFormat.of()::formatHex).toList());
    }

    @Test
    void rejectsAFrameLengthOutsideTheLimit() {
        assertEquals(ResultCode.FRAME_TOO_LARGE, rejectionOfLength("000000c9"));
        assertEquals(ResultCode.FRAME_INVALID, rejectionOfLength("00000000"));
        assertEquals(ResultCode.FRAME_INVALID, rejectionOfLength("ffffffff"));
    }

    private static ResultCode rejectionOfLength(String length) {
        ByteBuffer bytes = ByteBuffer.wrap(HexFormat.of().parseHex(length));
        return assertThrows(ResultException.class, () -> new FrameReader(200).read(bytes)).code();
    }

    private void assertRoundTrip(PeerMessage message) {
        byte[] frame = codec.encode(message).bytes();
        assertEquals(
                Optional.of(message), codec.decode(Arrays.copyOfRange(frame, 4, frame.length)));
    }
}
