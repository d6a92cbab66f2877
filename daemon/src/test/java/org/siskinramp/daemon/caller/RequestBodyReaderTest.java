package org.siskinramp.daemon.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletionException;
import org.eclipse.jetty.io.Content;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.siskinramp.daemon.buffer.BodyBuffer;
import org.siskinramp.daemon.exchange.ManualClock;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** An exception while the body is read ends it, so that the request is refused. */
class RequestBodyReaderTest {

    private record ThrowingSource(String error) implements Content.Source {

        @Override
        public Content.Chunk read() {
            if (error.equals("memory")) {
                throw new OutOfMemoryError("test");
            }
            throw new IllegalStateException("test");
        }

        @Override
        public void demand(Runnable callback) {}

        @Override
        public void fail(Throwable failure) {}
    }

    @ParameterizedTest
    @CsvSource({"memory, TOO_MANY_REQUESTS", "state, INVARIANT_VIOLATED"})
    void aBodyEndsWhateverIsThrown(String error, ResultCode code) {
        RequestBodyReader reader =
                new RequestBodyReader(
                        new ThrowingSource(error),
                        CallerServerOptions.builder().build(),
                        new ManualClock(),
                        new BodyBuffer(bytes -> {}, -1));
        reader.run();
        assertTrue(reader.body().isDone());
        CompletionException failure = assertThrows(CompletionException.class, reader.body()::join);
        assertEquals(code, ResultException.from(failure).code());
    }
}
