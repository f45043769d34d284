"""The entry process, which serves callers, trainers and operators."""
