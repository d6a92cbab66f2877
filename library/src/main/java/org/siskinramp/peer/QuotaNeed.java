package org.siskinramp.peer;

/**
 * A host's need for tokens of a workspace.
 *
 * @param workspace the name of the workspace
 * @param microTokens the amount in millionths of a token
 */
public record QuotaNeed(String workspace, long microTokens) {}
