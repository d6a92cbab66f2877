package org.siskinramp.daemon.administration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Returns a JSON {@link ErrorBody} for requests that Jetty itself refuses. */
final class JsonErrorHandler implements Request.Handler {

    private static final int SERVER_ERROR = 500;

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        ResultCode code =
                response.getStatus() >= SERVER_ERROR
                        ? ResultCode.INVARIANT_VIOLATED
                        : ResultCode.REQUEST_INVALID;
        ErrorBody body =
                ErrorBody.of(new ResultException(code, "HTTP status " + response.getStatus()));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] bytes = AdministrationJson.write(body).getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(bytes), callback);
        return true;
    }
}
