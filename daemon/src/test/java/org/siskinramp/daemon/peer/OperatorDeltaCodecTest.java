package org.siskinramp.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.siskinramp.peer.OperatorDelta;
import org.siskinramp.peer.RouteLine;
import org.siskinramp.peer.RoutePath;
import org.siskinramp.peer.RouteTableDelta;
import org.siskinramp.peer.RouteTableDeltaSize;
import org.siskinramp.route.CallerLimits;
import org.siskinramp.route.RoutedService;
import org.siskinramp.route.ServiceShare;
import org.siskinramp.workspace.KeyDigest;
import org.siskinramp.workspace.Workspace;

class OperatorDeltaCodecTest {

    private final PeerCodec codec = new PeerCodec(Integer.MAX_VALUE);

    private static RouteLine route(int number) {
        return new RouteLine(
                "route-\u00e4" + number,
                "h",
                "/" + number + "/",
                true,
                false,
                90_000,
                70_000,
                -1,
                3,
                List.of(new ServiceShare("desk", 100_000), new ServiceShare("bay", 1)));
    }

    private static Workspace workspace(int number) {
        return new Workspace(
                "crew-" + number,
                Integer.MAX_VALUE,
                202.5,
                50.5,
                List.of(new KeyDigest(Long.MIN_VALUE, Long.MAX_VALUE), new KeyDigest(-1, number)));
    }

    private static OperatorDelta delta(int items) {
        List<Integer> numbers = IntStream.range(0, items).boxed().toList();
        RouteTableDelta routes =
                new RouteTableDelta(
                        Long.MAX_VALUE - 1,
                        Long.MAX_VALUE,
                        Long.MIN_VALUE,
                        numbers.stream().map(OperatorDeltaCodecTest::route).toList(),
                        numbers.stream().map(number -> new RoutePath("h", "/b" + number)).toList(),
                        numbers.stream()
                                .map(number -> new RoutedService("s" + number, "/health", 9, 1.5))
                                .toList(),
                        numbers.stream().map(number -> "t" + number).toList(),
                        new CallerLimits(100_000, 1L << 40, 3, 4),
                        true,
                        numbers.stream().map(OperatorDeltaCodecTest::workspace).toList(),
                        numbers.stream().map(number -> "yard-" + number).toList());
        return new OperatorDelta(Long.MAX_VALUE, 30_000, routes, List.of());
    }

    @Test
    void decodesAnEncodedDelta() {
        OperatorDelta message = delta(3);
        byte[] frame = codec.encode(message).bytes();
        assertEquals(
                Optional.of(message), codec.decode(Arrays.copyOfRange(frame, 4, frame.length)));
    }

    /** Guards against messages beyond the limit that the sender compares the estimate with. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 20, 300})
    void aDeltaIsNotLargerThanEstimated(int items) {
        OperatorDelta message = delta(items);
        int bytes = codec.encode(message).bytes().length;
        int estimate = RouteTableDeltaSize.estimateBytes(message.routes());
        assertTrue(bytes <= estimate && estimate <= 100 + 1.5 * bytes, bytes + " " + estimate);
    }
}
