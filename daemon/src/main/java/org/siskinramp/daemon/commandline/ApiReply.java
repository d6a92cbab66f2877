package org.siskinramp.daemon.commandline;

import org.siskinramp.daemon.administration.AdministrationJson;

/**
 * Holds an answer of the administration API.
 *
 * @param status the HTTP status
 * @param body the body, in JSON
 */
record ApiReply(int status, String body) {

    <T> T read(Class<T> type) {
        return AdministrationJson.read(body, type);
    }
}
