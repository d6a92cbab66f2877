package org.siskinramp.daemon.caller;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves management pages, one per connector; other connectors use the caller handler. */
final class ManagementPageHandler extends Handler.Wrapper {

    private final Map<Connector, Page> pages = new ConcurrentHashMap<>();

    ManagementPageHandler(Handler callerHandler) {
        super(callerHandler);
    }

    void add(Connector connector, String path, Supplier<ManagementPage> content) {
        pages.put(connector, new Page(path, content));
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        Page page = pages.get(request.getConnectionMetaData().getConnector());
        if (page == null) {
            return super.handle(request, response, callback);
        }
        if (!page.path.equals(request.getHttpURI().getPath())) {
            response.setStatus(HttpStatus.NOT_FOUND_404);
            callback.succeeded();
            return true;
        }
        ManagementPage content = page.content.get();
        response.setStatus(content.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, content.contentType());
        response.write(true, ByteBuffer.wrap(content.body()), callback);
        return true;
    }

    private record Page(String path, Supplier<ManagementPage> content) {}
}
