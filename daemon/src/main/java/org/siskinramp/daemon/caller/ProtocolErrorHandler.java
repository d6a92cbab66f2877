package org.siskinramp.daemon.caller;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.siskinramp.result.ResultCode;
import org.siskinramp.result.ResultException;

/** Maps requests that Jetty rejects before they reach a handler to result codes. */
final class ProtocolErrorHandler extends ErrorHandler {

    private final AnswerWriter writer;

    ProtocolErrorHandler(AnswerWriter writer) {
        this.writer = writer;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        if (request.getConnectionMetaData().getConnection().getEndPoint()
                instanceof CloseDetectingEndPoint caller) {
            caller.lookAhead().close();
        }
        ResultCode code = codeOf(response.getStatus());
        Object message = request.getAttribute(ERROR_MESSAGE);
        writer.write(new ResultException(code, String.valueOf(message)), null, response, callback);
        return true;
    }

    private static ResultCode codeOf(int status) {
        return switch (status) {
            case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, HttpStatus.URI_TOO_LONG_414 ->
                    ResultCode.HEADERS_TOO_LARGE;
            case HttpStatus.PAYLOAD_TOO_LARGE_413 -> ResultCode.BODY_TOO_LARGE;
            case HttpStatus.REQUEST_TIMEOUT_408 -> ResultCode.REQUEST_INCOMPLETE;
            default ->
                    HttpStatus.isClientError(status)
                            ? ResultCode.REQUEST_INVALID
                            : ResultCode.INVARIANT_VIOLATED;
        };
    }
}
