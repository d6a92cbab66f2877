package org.siskinramp.standin.http;

/**
 * The body of an answer that reports an error.
 *
 * @param error the reason in one sentence
 */
public record ErrorBody(String error) {}
