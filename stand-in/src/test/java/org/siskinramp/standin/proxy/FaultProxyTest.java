package org.siskinramp.standin.proxy;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.siskinramp.standin.TestClient;
import org.siskinramp.standin.http.Addresses;
import org.siskinramp.time.SystemClock;

final class FaultProxyTest {

    private static final int READ_LIMIT_MILLISECONDS = 10_000;
    private static final int SILENCE_MILLISECONDS = 200;

    private ServerSocket target;
    private FaultProxy proxy;
    private TestClient control;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        proxy =
                FaultProxy.start(
                        "127.0.0.1:0",
                        "127.0.0.1:" + target.getLocalPort(),
                        "127.0.0.1:0",
                        new SystemClock());
        control = new TestClient(proxy.controlAddress());
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        target.close();
    }

    @Test
    void bytesPassInBothDirectionsAndTheEndIsPassedOn() throws IOException {
        try (Socket near = connect();
                Socket far = target.accept()) {
            near.getOutputStream().write("hello".getBytes(US_ASCII));
            near.shutdownOutput();
            assertEquals("hello", new String(far.getInputStream().readAllBytes(), US_ASCII));
            far.getOutputStream().write("world".getBytes(US_ASCII));
            far.shutdownOutput();
            assertEquals("world", new String(near.getInputStream().readAllBytes(), US_ASCII));
        }
    }

    @Test
    void silencedConnectionPassesNothingWhileANewOneWorks() throws IOException {
        try (Socket near = connect();
                Socket far = target.accept()) {
            passOneByte(near, far);
            command("{\"silence_existing\":true}");
            near.getOutputStream().write(1);
            far.setSoTimeout(SILENCE_MILLISECONDS);
            assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
            try (Socket newNear = connect();
                    Socket newFar = target.accept()) {
                passOneByte(newNear, newFar);
            }
        }
    }

    @Test
    void oneDirectionIsDropped() throws IOException {
        command("{\"one_way\":\"to_target\"}");
        try (Socket near = connect();
                Socket far = target.accept()) {
            near.getOutputStream().write(1);
            passOneByte(far, near);
            far.setSoTimeout(SILENCE_MILLISECONDS);
            assertThrows(SocketTimeoutException.class, () -> far.getInputStream().read());
        }
    }

    @Test
    void answerIsTruncated() throws IOException {
        command("{\"truncate_after\":3}");
        try (Socket near = connect();
                Socket far = target.accept()) {
            far.getOutputStream().write("world".getBytes(US_ASCII));
            assertEquals("wor", new String(near.getInputStream().readNBytes(5), US_ASCII));
        }
    }

    @Test
    void cutClosesAndRefusesUntilHealed() throws IOException {
        try (Socket near = connect();
                Socket far = target.accept()) {
            passOneByte(near, far);
            command("{\"cut\":true}");
            assertEquals(-1, near.getInputStream().read());
            assertThrows(SocketException.class, this::connect);
            command("{\"heal\":true}");
            try (Socket newNear = connect();
                    Socket newFar = target.accept()) {
                passOneByte(newNear, newFar);
            }
        }
    }

    private static void passOneByte(Socket from, Socket to) throws IOException {
        from.getOutputStream().write(7);
        assertEquals(7, to.getInputStream().read());
    }

    private void command(String faults) {
        assertEquals(200, control.post("/-/faults", faults).statusCode());
    }

    private Socket connect() throws IOException {
        var address = Addresses.parseLoopback(proxy.address());
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(READ_LIMIT_MILLISECONDS);
        return socket;
    }
}
