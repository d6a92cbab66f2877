package org.siskinramp.daemon.caller;

import java.util.List;
import org.siskinramp.request.Header;
import org.siskinramp.request.Request;
import org.siskinramp.request.RequestKey;
import org.siskinramp.request.RequestKind;

/** Holds the headers of a request and the values derived from them, before the body is read. */
record RequestHead(
        RequestKey key,
        String service,
        RequestKind kind,
        String method,
        String target,
        List<Header> headers,
        long arrivedMilliseconds,
        long deadlineMilliseconds) {

    Request withBody(byte[] body) {
        return Request.builder()
                .key(key)
                .service(service)
                .kind(kind)
                .method(method)
                .target(target)
                .headers(headers)
                .body(body)
                .contentHash(ContentHash.of(method, target, body))
                .arrivedMilliseconds(arrivedMilliseconds)
                .deadlineMilliseconds(deadlineMilliseconds)
                .build();
    }
}
