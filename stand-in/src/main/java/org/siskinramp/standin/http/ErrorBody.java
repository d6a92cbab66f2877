package org.siskinramp.standin.http;

/**
 * Says why a request was not carried out.
 *
 * @param error the reason in one sentence
 */
public record ErrorBody(String error) {}
